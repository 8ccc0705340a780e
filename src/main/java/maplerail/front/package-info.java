/** What all listeners share: clients' connections, turns between requests, and accept. */
package maplerail.front;
