/** Connections to engines and tool servers, and what their answers mean. Nothing here sends anything twice. */
package maplerail.net;
