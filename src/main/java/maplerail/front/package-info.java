/** Code shared by all listeners: client connections, request throttling, and accept. */
package maplerail.front;
