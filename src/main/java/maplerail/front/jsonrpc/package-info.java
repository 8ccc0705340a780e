/** The JSON-RPC front for tool calls and for requests. */
package maplerail.front.jsonrpc;
