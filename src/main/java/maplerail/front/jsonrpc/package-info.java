/** The JSON-RPC front, for tool calls and streaming answers. */
package maplerail.front.jsonrpc;
