/** Discovery of engines and tool servers, and the watches that keep their lists current. */
package maplerail.discovery;
