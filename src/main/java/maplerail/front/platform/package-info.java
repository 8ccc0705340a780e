/** The platform's protocol for clients: one request for each HTTP exchange. */
package maplerail.front.platform;
