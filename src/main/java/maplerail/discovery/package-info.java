/** Where the list of engines or tool servers comes from, and how it is kept current. */
package maplerail.discovery;
