/** The decision module and what it and the node say to each other. */
package maplerail;
