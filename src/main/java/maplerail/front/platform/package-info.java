/** The platform's HTTP protocol for clients: one request per exchange. */
package maplerail.front.platform;
