/** Runs the decision module behind the simulator's binary protocol. */
package maplerail.sim;
