/** The decision module, and the interface between it and the node. */
package maplerail;
