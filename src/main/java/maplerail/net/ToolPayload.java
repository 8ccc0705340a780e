package maplerail.net;

import maplerail.core.Payload;

/** A tool call: the message for the tool server, and the most bytes that its reply may hold. */
public record ToolPayload(String path, byte[] message, int mostReply) implements Payload {}
