/** The same decision module on the simulator's wire. */
package maplerail.sim;
