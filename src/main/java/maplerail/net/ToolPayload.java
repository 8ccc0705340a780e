package maplerail.net;

import maplerail.core.Payload;

/**
 * A tool call.
 *
 * @param message the message for the tool server
 * @param maxReplyBytes limit on the size of the reply
 */
public record ToolPayload(String path, byte[] message, int maxReplyBytes) implements Payload {}
