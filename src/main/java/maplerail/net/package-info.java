/**
 * Connections to engines and tool servers, and the interpretation of their responses. Nothing here sends a request
 * twice.
 */
package maplerail.net;
