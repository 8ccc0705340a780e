package maplerail.front.platform;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import maplerail.core.Caller;
import maplerail.core.ClientMemory;
import maplerail.core.ClientMemory.Kind;
import maplerail.core.EventLoop;
import maplerail.core.RequestHandle;
import maplerail.core.ServiceCounters;
import maplerail.front.platform.ClientInput.Left;
import maplerail.policy.ProtocolRules.ClientPresence;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/** The response to one open HTTP request: relays the stream as it arrives, or sends the one final answer. */
final class HttpAnswer implements Caller {
    private static final Logger LOG = LoggerFactory.getLogger(HttpAnswer.class);

    private static final int MAX_PENDING_BYTES = 64 * 1024; // that the client has not read yet
    private static final int MAX_PENDING_BYTES_WHEN_SHORT = 4 * 1024; // while memory is short

    private final HttpServerExchange exchange;
    private final PipelinedRequests pipelined;
    private final ClientInput input;
    private final ServiceCounters counters;
    private final ClientMemory memory;
    private final BooleanSupplier shuttingDown;
    private final ArrayDeque<ByteBuffer> pendingChunks = new ArrayDeque<>();
    private int pendingBytes;
    private RequestHandle handle;
    private StreamSinkChannel sink;
    private boolean paused;
    private boolean ending;
    private boolean finished;

    /**
     * Creates the answer to a request.
     *
     * @param pipelined what its client has sent after the request
     * @param pacer spaces the reads of what is not kept
     * @param shuttingDown whether connections are to be closed as soon as their requests are answered
     */
    HttpAnswer(HttpServerExchange exchange, PipelinedRequests pipelined, DroppedReadPacer pacer, EventLoop loop,
            ServiceCounters counters, ClientMemory memory, BooleanSupplier shuttingDown) {
        this.exchange = exchange;
        this.pipelined = pipelined;
        this.counters = counters;
        this.memory = memory;
        this.shuttingDown = shuttingDown;
        this.input = new ClientInput((HttpServerConnection) exchange.getConnection(), pipelined, pacer, loop,
                this::onClientLeft);
    }

    /** Sets the handle that is notified when the client leaves. */
    void setHandle(RequestHandle requestHandle) {
        handle = requestHandle;
    }

    boolean isFinished() {
        return finished;
    }

    /** Checks now, and from now on, whether the client has closed its side of the connection. */
    ClientPresence watchForDisconnect() {
        return input.watch();
    }

    @Override
    public ClientPresence presence() {
        return finished ? ClientPresence.DISCONNECTED : input.presence();
    }

    /** Marks the request as finished: later events and answers for it are ignored. */
    private void finish() {
        finished = true;
        input.stop();
        countPending(-pendingBytes);
        pipelined.recount();
    }

    private void countPending(int bytes) {
        pendingBytes += bytes;
        memory.add(Kind.UNREAD_ANSWER, bytes);
    }

    private int maxPendingBytes() {
        return memory.isShort(Kind.UNREAD_ANSWER) ? MAX_PENDING_BYTES_WHEN_SHORT : MAX_PENDING_BYTES;
    }

    private void onClientLeft(Left reason) {
        if (finished) return;
        finish();
        counters.count(reason);
        IoUtils.safeClose(exchange.getConnection());
        if (handle != null) handle.cancel();
    }

    @Override
    public boolean event(byte[] event) {
        if (finished) return true;
        if (sink == null) {
            exchange.setStatusCode(200);
            closeAfterLastAnswer();
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
            exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-cache");
            // Explicit, as only this gives a stream a last chunk where the connection closes after the answer.
            exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
            openSink();
        }
        addPending(event);
        if (pendingChunks.size() == 1) writePending();
        paused = pendingBytes > maxPendingBytes();
        return !paused;
    }

    /** Closes the connection of a program that ends after this answer, unless further requests were read from it. */
    private void closeAfterLastAnswer() {
        if (shuttingDown.getAsBoolean() && pipelined.isEmpty())
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
    }

    private void openSink() {
        sink = exchange.getResponseChannel();
        sink.getWriteSetter().set(channel -> writePending());
    }

    private void addPending(byte[] bytes) {
        pendingChunks.add(ByteBuffer.wrap(bytes));
        countPending(bytes.length);
    }

    private void writePending() {
        if (finished) return;
        try {
            while (!pendingChunks.isEmpty()) {
                ByteBuffer first = pendingChunks.peek();
                int count = sink.write(first);
                countPending(-count);
                if (!first.hasRemaining()) pendingChunks.poll();
                else if (count == 0) {
                    sink.resumeWrites();
                    return;
                }
            }
            if (ending) {
                sink.shutdownWrites();
                finish();
            }
            if (!sink.flush()) {
                sink.resumeWrites();
                if (finished) sink.getWriteSetter().set(channel -> flushRest());
                return;
            }
            sink.suspendWrites();
        } catch (IOException e) {
            onClientLeft(Left.WRITE_FAILED);
            return;
        }
        if (paused && !finished && pendingBytes <= maxPendingBytes() / 2) {
            paused = false;
            handle.writable();
        }
    }

    private void flushRest() {
        try {
            if (sink.flush()) sink.suspendWrites();
        } catch (IOException e) {
            LOG.info("request {}: writing the end of the response failed: {}", requestId(), e.getMessage());
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    @Override
    public void end() {
        if (finished) return;
        if (sink == null) event(new byte[0]);
        ending = true;
        writePending();
    }

    @Override
    public void broken() {
        if (finished) return;
        finish();
        logPipelinedRequests();
        // Sends pending bytes as far as possible without waiting, then closes the connection without a last chunk.
        try {
            while (!pendingChunks.isEmpty() && sink.write(pendingChunks.peek()) > 0) {
                if (!pendingChunks.peek().hasRemaining()) pendingChunks.poll();
            }
            sink.flush();
        } catch (IOException e) {
            IoUtils.safeClose(exchange.getConnection());
        }
        IoUtils.safeClose(exchange.getConnection());
    }

    /**
     * Logs the requests that were pipelined after this one: closing the connection drops them, and no other log line
     * names them.
     */
    private void logPipelinedRequests() {
        List<String> pipelinedIds = pipelined.heldIds();
        if (pipelinedIds.isEmpty()) return;
        LOG.info("request {}: closing its connection drops the pipelined requests {} and {} that were not kept",
                requestId(), pipelinedIds, pipelined.droppedRequests());
    }

    private String requestId() {
        return exchange.getRequestHeaders().getFirst("Req-Id");
    }

    @Override
    public void refuse(Why why, double retryAfterMs) {
        if (retryAfterMs > 0) {
            String delaySeconds = String.format(Locale.ROOT, "%.3f", retryAfterMs / 1_000);
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, delaySeconds);
        }
        respond(why == Why.INVALID ? 413 : 503, "refused, a repeat does no harm");
    }

    @Override
    public void fail(Why why) {
        switch (why) {
            case INVALID -> respond(400, "not a valid request");
            case DUPLICATE -> respond(409, "Req-Id: open already, or it may have run");
            case DEADLINE -> respond(504, "no answer in time");
            default -> respond(502, "failed, it may have run");
        }
    }

    void respond(int status, String message) {
        if (finished) return;
        exchange.setStatusCode(status);
        closeAfterLastAnswer();
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        String body = "{\"error\":{\"message\":\"" + message + "\"}}\n";
        if (exchange.isRequestComplete()) {
            finish();
            exchange.getResponseSender().send(body);
        } else {
            respondBeforeRequestEnds(body.getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Writes a whole answer without waiting for the rest of the request, as the server's own sender would. */
    private void respondBeforeRequestEnds(byte[] body) {
        exchange.setResponseContentLength(body.length);
        openSink();
        addPending(body);
        ending = true;
        writePending();
    }
}
