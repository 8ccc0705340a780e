package maplerail.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Clients of one gateway: open-loop load on keep-alive connections, with some early leavers and malformed requests. */
final class LoadClients {
    private static final double REQUESTS_PER_S = 5;
    /** An answer this late after the deadline is useless, but no breach. */
    private static final double LATE_TOLERANCE_MS = 500;
    private static final double LEAVE_SHARE = 0.08;
    private static final double MALFORMED_SHARE = 0.05;
    private static final int MALFORMED_TIMEOUT_MS = 3_000;
    private static final int SCHEDULING_SLACK_MS = 150;
    private static final int STREAM_READ_TIMEOUT_MS = 15_000;
    private static final int FRAGMENTED_EVERY = 6; // one request in this many is sent in pieces
    private static final double MAX_PAUSE_SHARE = 0.25; // of the request's deadline, between two of its pieces
    private static final AtomicLong LAST_ID = new AtomicLong();
    private static final List<String> MALFORMED = List.of("POST / HTTP/1.1\r\nReq-", "nonsense\r\n\r\n",
            "POST /v1/x HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n",
            "POST /v1/x HTTP/1.1\r\nHost: x\r\nReq-Id: bad\r\nReq-Kind: none\r\nReq-Deadline: 2\r\nContent-Length: 2\r\n\r\n{}",
            "POST /v1/x HTTP/1.1\r\nHost: x\r\nReq-Id: bad\r\nReq-Kind: ask\r\nReq-Deadline: x\r\nContent-Length: 90\r\n\r\n{}",
            "");

    private final GatewayProcess gateway;
    private final Ledger ledger;
    private final SoakSettings settings;
    private final SplittableRandom random;
    private final ConcurrentLinkedDeque<Socket> idle = new ConcurrentLinkedDeque<>();
    private final AtomicInteger quietSent = new AtomicInteger();
    private final AtomicInteger quietServed = new AtomicInteger();
    private volatile boolean quiet;
    private volatile boolean stopped;

    LoadClients(GatewayProcess gateway, Ledger ledger, SoakSettings settings, SplittableRandom random) {
        this.gateway = gateway;
        this.ledger = ledger;
        this.settings = settings;
        this.random = random;
    }

    void start() {
        DaemonThreads.start("load " + gateway.name, () -> {
            while (!stopped) {
                Thread.sleep((long) (-Math.log(1 - random.nextDouble()) * 1_000 / REQUESTS_PER_S));
                double draw = random.nextDouble();
                int choice = random.nextInt(1 << 20);
                if (!gateway.acceptsClients()) {
                    if (gateway.isDraining() && !idle.isEmpty())
                        DaemonThreads.start("client", () -> sendRequest(choice, 0, false));
                    continue;
                }
                boolean counted = quiet;
                DaemonThreads.start("client", () -> {
                    if (draw < MALFORMED_SHARE) sendMalformed(MALFORMED.get(choice % MALFORMED.size()));
                    else if (draw < MALFORMED_SHARE + LEAVE_SHARE) sendRequest(choice, 20 + choice % 600, false);
                    else sendRequest(choice, 0, counted);
                });
            }
        });
    }

    /** Sets whether requests from now on are sent in the quiet phase, in which they must be served. */
    void setQuiet(boolean on) {
        quiet = on;
    }

    void stop() {
        stopped = true;
    }

    /** The served share of the requests sent in the quiet phase; 1 if there were fewer than 5. */
    double quietServedShare() {
        return quietSent.get() < 5 ? 1 : (double) quietServed.get() / quietSent.get();
    }

    private static final List<String> KINDS = List.of("ask", "move", "book");
    private static final List<Ledger.Repeat> REPEATS = List.of(Ledger.Repeat.PURE, Ledger.Repeat.KEYED,
            Ledger.Repeat.UNSAFE);

    private void sendRequest(int choice, int leaveAfterMs, boolean counted) throws Exception {
        String id = nextId();
        int kind = choice % KINDS.size();
        double budgetMs = settings.deadlineMs * (0.7 + choice % 1_000 / 1_000.0 * 0.7);
        String text = requestText(id, choice, budgetMs);
        Socket kept = idle.pollFirst();
        Ledger.Request request = ledger.requestSent(id, REPEATS.get(kind), gateway.name, budgetMs);
        if (counted) quietSent.incrementAndGet();
        boolean done = kept != null && exchange(kept, request, text, leaveAfterMs, counted, true);
        if (done) return;
        double remainingMs = request.deadlineMs - Ledger.nowMs();
        if (remainingMs <= 0) {
            ledger.answered(request, "deadline passed before the retry on a new connection");
            return;
        }
        // Sending pieces on the first connection may have used part of the deadline.
        String retryText = kept == null ? text : requestText(id, choice, remainingMs);
        if (kept != null) ledger.note(request, "retried on a new connection");
        try {
            exchange(connect(), request, retryText, leaveAfterMs, counted, false);
        } catch (IOException e) {
            ledger.answered(request, "no connection"); // the gateway never accepted the request
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", gateway.port);
        socket.setTcpNoDelay(true);
        return socket;
    }

    /** False if a kept connection ended without an answer and no engine got the request: the client then retries. */
    private boolean exchange(Socket socket, Ledger.Request request, String text, int leaveAfterMs, boolean counted,
            boolean kept) throws Exception {
        Answer answer = new Answer();
        if (leaveAfterMs > 0) scheduleLeave(socket, request, leaveAfterMs, answer);
        try {
            ledger.sending(request, false);
            send(socket, request, text);
            ledger.sending(request, true);
            answer.requestSent = true;
            answer.read(socket, request);
        } catch (SocketTimeoutException e) {
            if (!answer.clientLeft) handleTimeout(request, answer);
            DaemonThreads.closeQuietly(socket);
            return true;
        } catch (IOException e) {
            DaemonThreads.closeQuietly(socket);
            if (answer.clientLeft) return true;
            if (answer.status == 0 && kept && !ledger.hasBegun(request)) {
                answer.done = true; // so that the client does not count as gone while it uses another connection
                return false;
            }
            handleClose(request, answer);
            return true;
        }
        handleAnswer(socket, request, answer, counted);
        return true;
    }

    /** Sends a request in one piece, or in three with pauses within its head and before its body. */
    private void send(Socket socket, Ledger.Request request, String text) throws Exception {
        int draw = request.id.hashCode() & Integer.MAX_VALUE;
        int head = text.indexOf("\r\n\r\n") + 4;
        List<Integer> ends = draw % FRAGMENTED_EVERY == 0 ? List.of(head / 2, head, text.length())
                : List.of(text.length());
        double pauseMs = (request.deadlineMs - request.sentMs) * MAX_PAUSE_SHARE * (draw % 97) / 97;
        int from = 0;
        for (int end : ends) {
            if (from > 0) Thread.sleep((long) pauseMs);
            socket.getOutputStream().write(text.substring(from, end).getBytes(StandardCharsets.UTF_8));
            from = end;
        }
    }

    /** Sends a request on an open connection, as one of many clients that send at the same time. */
    void sendOn(Socket socket) throws Exception {
        int choice = LAST_ID.intValue() & 0xfffff;
        Ledger.Request request = ledger.requestSent(nextId(), REPEATS.get(choice % KINDS.size()), gateway.name,
                settings.deadlineMs);
        exchange(socket, request, requestText(request.id, choice, settings.deadlineMs), 0, false, false);
    }

    private String nextId() {
        return String.format(Locale.ROOT, "%s-%06x", gateway.name, LAST_ID.incrementAndGet());
    }

    private static String requestText(String id, int choice, double budgetMs) {
        String body = "{\"stream\":true,\"messages\":[]}";
        return String.format(Locale.ROOT, "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nReq-Id: %s\r\n"
                + "Req-Kind: %s\r\nReq-Key: %016x\r\nReq-Deadline: %.3f\r\nReq-Extra: prompt_len=%d,max_out=60\r\n"
                + "Content-Length: %d\r\n\r\n%s", id, KINDS.get(choice % KINDS.size()), choice, budgetMs / 1_000,
                200 + choice % 2_000, body.length(), body);
    }

    private void scheduleLeave(Socket socket, Ledger.Request request, int afterMs, Answer answer) {
        DaemonThreads.start("leaver", () -> {
            Thread.sleep(afterMs);
            if (answer.done) return;
            answer.clientLeft = true;
            DaemonThreads.closeQuietly(socket);
            ledger.clientLeft(request);
        });
    }

    private void handleTimeout(Ledger.Request request, Answer answer) {
        if (answer.status == 200) {
            ledger.note(request, "stream stalled");
            ledger.streamEnded(request);
        }
        if (request.gatewayKilled || answer.status == 200) return;
        ledger.recordBreach(Ledger.Rule.FINAL_ANSWER, request,
                "no answer " + Math.round(Ledger.nowMs() - request.deadlineMs) + " ms after the deadline");
    }

    private void handleClose(Ledger.Request request, Answer answer) {
        if (!answer.requestSent) {
            ledger.answered(request, "closed before the request was fully sent"); // the gateway never accepted it
            return;
        }
        if (gateway.hasReadFaults()) {
            ledger.answered(request, "closed by an injected network fault");
            return;
        }
        if (request.answerWasDue) {
            ledger.recordBreach(Ledger.Rule.FINAL_ANSWER, request,
                    "sent over 0.7 s after SIGTERM, unanswered at SIGKILL");
            return;
        }
        if (request.gatewayKilled || !gateway.acceptsClients() && !ledger.hasBegun(request)) {
            ledger.answered(request, "closed by the end of the gateway");
            return;
        }
        if (answer.status == 200) {
            ledger.checkStream(request, answer.events.toString(), false);
            ledger.streamEnded(request);
            ledger.answered(request, "broken");
            return;
        }
        ledger.recordBreach(Ledger.Rule.CONNECTION_CLOSED_OVER_A_REQUEST, request, "no answer after "
                + Math.round(Ledger.nowMs() - request.sentMs) + " ms");
    }

    private void handleAnswer(Socket socket, Ledger.Request request, Answer answer, boolean counted) {
        double lateMs = answer.firstLineMs - request.deadlineMs;
        if (lateMs > LATE_TOLERANCE_MS + SCHEDULING_SLACK_MS) {
            ledger.recordBreach(Ledger.Rule.FINAL_ANSWER, request, "answer late by " + Math.round(lateMs) + " ms");
        }
        if (answer.status == 200) {
            ledger.checkStream(request, answer.events.toString(), true);
            ledger.streamEnded(request);
            ledger.answered(request, "served");
            if (counted) quietServed.incrementAndGet();
        } else {
            ledger.answered(request, answer.status == 503 || answer.status == 429 ? "refused" : "failed");
        }
        if (answer.keepAlive) idle.addFirst(socket);
        else DaemonThreads.closeQuietly(socket);
    }

    private void sendMalformed(String text) throws InterruptedException {
        double startMs = Ledger.nowMs();
        try (Socket socket = connect()) {
            socket.setSoTimeout(MALFORMED_TIMEOUT_MS + SCHEDULING_SLACK_MS);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            int first = socket.getInputStream().read();
            if (first >= 0 && !new String(socket.getInputStream().readNBytes(8), StandardCharsets.US_ASCII)
                    .startsWith("TTP/1.1 ")) {
                ledger.recordBreach(Ledger.Rule.BAD_CLIENT, null, gateway.name + " sent an answer that is not HTTP");
            }
        } catch (SocketTimeoutException e) {
            if (!gateway.acceptsClients()) return;
            ledger.recordBreach(Ledger.Rule.BAD_CLIENT, null, gateway.name + " sent nothing for "
                    + Math.round(Ledger.nowMs() - startMs) + " ms to: " + text.replace("\r\n", "|"));
        } catch (IOException e) {
            return; // closing the connection is a correct response, too
        }
    }

    /** The response to one request. */
    private final class Answer {
        volatile boolean clientLeft;
        volatile boolean done;
        /** True once the last byte of the request has been written. */
        boolean requestSent;
        int status;
        double firstLineMs;
        boolean keepAlive = true;
        final StringBuilder events = new StringBuilder();

        void read(Socket socket, Ledger.Request request) throws IOException {
            double limitMs = request.deadlineMs + LATE_TOLERANCE_MS + SCHEDULING_SLACK_MS - Ledger.nowMs();
            socket.setSoTimeout((int) Math.max(1, limitMs));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String first = readLine(in);
            firstLineMs = Ledger.nowMs();
            status = Integer.parseInt(first.split(" ")[1]);
            socket.setSoTimeout(STREAM_READ_TIMEOUT_MS);
            int length = 0;
            boolean chunked = false;
            for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
                String lower = line.toLowerCase(Locale.ROOT);
                if (lower.startsWith("content-length:")) length = Integer.parseInt(lower.substring(15).trim());
                if (lower.startsWith("connection:") && lower.contains("close")) keepAlive = false;
                chunked |= lower.startsWith("transfer-encoding:");
            }
            if (chunked) readChunks(in, request);
            else in.readNBytes(length);
            done = true;
        }

        private void readChunks(InputStream in, Ledger.Request request) throws IOException {
            for (int size = readChunkSize(in); size > 0; size = readChunkSize(in)) {
                events.append(new String(in.readNBytes(size), StandardCharsets.UTF_8));
                ledger.streamArrived(request);
                readLine(in);
            }
            readLine(in);
        }

        private int readChunkSize(InputStream in) throws IOException {
            return Integer.parseInt(readLine(in).trim(), 16);
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) throw new IOException("the connection ended");
            if (c != '\r') line.append((char) c);
        }
        return line.toString();
    }

    /** Closes the idle connections. */
    void closeIdle() {
        new ArrayDeque<>(idle).forEach(DaemonThreads::closeQuietly);
    }
}
