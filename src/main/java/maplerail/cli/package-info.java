/** The command line, start, signals and drain. */
package maplerail.cli;
