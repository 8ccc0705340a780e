/** The command line, and the start-up, signals and drain of a gateway. */
package maplerail.cli;
