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

/** Clients of one gateway: an open loop of requests on kept connections, some that leave early and some that are bad. */
final class LoadClients {
    private static final double REQUESTS_PER_S = 5;
    private static final double LATE_MS = 500; // for which an answer after the deadline only earns nothing
    private static final double LEAVE_SHARE = 0.08;
    private static final double BAD_SHARE = 0.05;
    private static final int BAD_LIMIT_MS = 3_000;
    private static final int OWN_SLACK_MS = 150;
    private static final int STREAM_LIMIT_MS = 15_000;
    private static final int IN_PIECES_EVERY = 6; // requests, of which one is sent in pieces
    private static final double MOST_PAUSE_SHARE = 0.25; // of a request's time, between two of its pieces
    private static final AtomicLong LAST_ID = new AtomicLong();
    private static final List<String> BAD = List.of("POST / HTTP/1.1\r\nReq-", "nonsense\r\n\r\n",
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
        Daemon.start("load " + gateway.name, () -> {
            while (!stopped) {
                Thread.sleep((long) (-Math.log(1 - random.nextDouble()) * 1_000 / REQUESTS_PER_S));
                double draw = random.nextDouble();
                int choice = random.nextInt(1 << 20);
                if (!gateway.takesClients()) {
                    if (gateway.drains() && !idle.isEmpty()) Daemon.start("client", () -> one(choice, 0, false));
                    continue;
                }
                boolean counted = quiet;
                Daemon.start("client", () -> {
                    if (draw < BAD_SHARE) bad(BAD.get(choice % BAD.size()));
                    else if (draw < BAD_SHARE + LEAVE_SHARE) one(choice, 20 + choice % 600, false);
                    else one(choice, 0, counted);
                });
            }
        });
    }

    /** Whether requests from now on are sent in quiet times, in which they have to be served. */
    void quiet(boolean on) {
        quiet = on;
    }

    void stop() {
        stopped = true;
    }

    /** Of the requests sent in quiet times, the share that was served; 1 if there were too few to tell. */
    double quietServedShare() {
        return quietSent.get() < 5 ? 1 : (double) quietServed.get() / quietSent.get();
    }

    private static final List<String> KINDS = List.of("ask", "move", "book");
    private static final List<Ledger.Repeat> REPEATS = List.of(Ledger.Repeat.PURE, Ledger.Repeat.KEYED,
            Ledger.Repeat.UNSAFE);

    private void one(int choice, int leaveAfterMs, boolean counted) throws Exception {
        String id = nextId();
        int kind = choice % KINDS.size();
        double budgetMs = settings.deadlineMs * (0.7 + choice % 1_000 / 1_000.0 * 0.7);
        String text = text(id, choice, budgetMs);
        Socket kept = idle.pollFirst();
        Ledger.Request request = ledger.sent(id, REPEATS.get(kind), gateway.name, budgetMs);
        if (counted) quietSent.incrementAndGet();
        boolean done = kept != null && attempt(kept, request, text, leaveAfterMs, counted, true);
        if (done) return;
        double leftMs = request.deadlineMs - Ledger.nowMs();
        if (leftMs <= 0) {
            ledger.answered(request, "given up between two connections");
            return;
        }
        // Some of its time may have gone by with pieces on the first connection.
        String again = kept == null ? text : text(id, choice, leftMs);
        if (kept != null) ledger.note(request, "sent once more on a new connection");
        try {
            attempt(connect(), request, again, leaveAfterMs, counted, false);
        } catch (IOException e) {
            ledger.answered(request, "no connection"); // it was never taken
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", gateway.port);
        socket.setTcpNoDelay(true);
        return socket;
    }

    /** False if a kept connection ended without a byte before the request was read: the client asks once more. */
    private boolean attempt(Socket socket, Ledger.Request request, String text, int leaveAfterMs, boolean counted,
            boolean kept) throws Exception {
        Answer answer = new Answer();
        if (leaveAfterMs > 0) leaveLater(socket, request, leaveAfterMs, answer);
        try {
            ledger.sending(request, false);
            send(socket, request, text);
            ledger.sending(request, true);
            answer.sent = true;
            answer.read(socket, request);
        } catch (SocketTimeoutException e) {
            if (!answer.left) overdue(request, answer);
            Daemon.close(socket);
            return true;
        } catch (IOException e) {
            Daemon.close(socket);
            if (answer.left) return true;
            if (answer.status == 0 && kept && !ledger.begun(request)) return false;
            closed(request, answer);
            return true;
        }
        settle(socket, request, answer, counted);
        return true;
    }

    /** Sends a request in one piece, or in three, with pauses within its head and before its body. */
    private void send(Socket socket, Ledger.Request request, String text) throws Exception {
        int draw = request.id.hashCode() & Integer.MAX_VALUE;
        int head = text.indexOf("\r\n\r\n") + 4;
        List<Integer> ends = draw % IN_PIECES_EVERY == 0 ? List.of(head / 2, head, text.length())
                : List.of(text.length());
        double pauseMs = (request.deadlineMs - request.sentMs) * MOST_PAUSE_SHARE * (draw % 97) / 97;
        int from = 0;
        for (int end : ends) {
            if (from > 0) Thread.sleep((long) pauseMs);
            socket.getOutputStream().write(text.substring(from, end).getBytes(StandardCharsets.UTF_8));
            from = end;
        }
    }

    /** One more request on a connection that is open, as one of a crowd that asks. */
    void ask(Socket socket) throws Exception {
        int choice = LAST_ID.intValue() & 0xfffff;
        Ledger.Request request = ledger.sent(nextId(), REPEATS.get(choice % KINDS.size()), gateway.name,
                settings.deadlineMs);
        attempt(socket, request, text(request.id, choice, settings.deadlineMs), 0, false, false);
    }

    private String nextId() {
        return String.format(Locale.ROOT, "%s-%06x", gateway.name, LAST_ID.incrementAndGet());
    }

    private static String text(String id, int choice, double budgetMs) {
        String body = "{\"stream\":true,\"messages\":[]}";
        return String.format(Locale.ROOT, "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nReq-Id: %s\r\n"
                + "Req-Kind: %s\r\nReq-Key: %016x\r\nReq-Deadline: %.3f\r\nReq-Extra: prompt_len=%d,max_out=60\r\n"
                + "Content-Length: %d\r\n\r\n%s", id, KINDS.get(choice % KINDS.size()), choice, budgetMs / 1_000,
                200 + choice % 2_000, body.length(), body);
    }

    private void leaveLater(Socket socket, Ledger.Request request, int afterMs, Answer answer) {
        Daemon.start("leaver", () -> {
            Thread.sleep(afterMs);
            if (answer.done) return;
            answer.left = true;
            Daemon.close(socket);
            ledger.left(request);
        });
    }

    private void overdue(Ledger.Request request, Answer answer) {
        if (answer.status == 200) ledger.note(request, "stream stalled");
        if (request.ownerKilled || answer.status == 200) return;
        ledger.breach(Ledger.Rule.FINAL_ANSWER, request, "nothing " + Math.round(Ledger.nowMs() - request.deadlineMs)
                + " ms after the deadline");
    }

    private void closed(Ledger.Request request, Answer answer) {
        if (!answer.sent) {
            ledger.answered(request, "closed before it was whole"); // it was never taken
            return;
        }
        if (gateway.hasReadFaults()) {
            ledger.answered(request, "closed by a fault of the network");
            return;
        }
        if (request.answerOwed) {
            ledger.breach(Ledger.Rule.FINAL_ANSWER, request, "sent over 0.7 s after SIGTERM, found by SIGKILL");
            return;
        }
        if (request.ownerKilled || !gateway.takesClients() && !ledger.begun(request)) {
            ledger.answered(request, "closed by an end");
            return;
        }
        if (answer.status == 200) {
            ledger.checkStream(request, answer.events.toString(), false);
            ledger.answered(request, "broken");
            return;
        }
        ledger.breach(Ledger.Rule.CONNECTION_CLOSED_OVER_A_REQUEST, request, "no answer after "
                + Math.round(Ledger.nowMs() - request.sentMs) + " ms");
    }

    private void settle(Socket socket, Ledger.Request request, Answer answer, boolean counted) {
        double lateMs = answer.firstMs - request.deadlineMs;
        if (lateMs > LATE_MS + OWN_SLACK_MS) {
            ledger.breach(Ledger.Rule.FINAL_ANSWER, request, "late by " + Math.round(lateMs) + " ms");
        }
        if (answer.status == 200) {
            ledger.checkStream(request, answer.events.toString(), true);
            ledger.answered(request, "served");
            if (counted) quietServed.incrementAndGet();
        } else {
            ledger.answered(request, answer.status == 503 || answer.status == 429 ? "refused" : "failed");
        }
        if (answer.keepAlive) idle.addFirst(socket);
        else Daemon.close(socket);
    }

    private void bad(String text) throws InterruptedException {
        double startMs = Ledger.nowMs();
        try (Socket socket = connect()) {
            socket.setSoTimeout(BAD_LIMIT_MS + OWN_SLACK_MS);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            int first = socket.getInputStream().read();
            if (first >= 0 && !new String(socket.getInputStream().readNBytes(8), StandardCharsets.US_ASCII)
                    .startsWith("TTP/1.1 ")) {
                ledger.breach(Ledger.Rule.BAD_CLIENT, null, gateway.name + " answered no HTTP");
            }
        } catch (SocketTimeoutException e) {
            if (!gateway.takesClients()) return;
            ledger.breach(Ledger.Rule.BAD_CLIENT, null, gateway.name + " said nothing for "
                    + Math.round(Ledger.nowMs() - startMs) + " ms to: " + text.replace("\r\n", "|"));
        } catch (IOException e) {
            return; // a close is what it is owed, too
        }
    }

    /** What has come back for one request. */
    private final class Answer {
        volatile boolean left;
        volatile boolean done;
        /** The last byte of the request has been written. */
        boolean sent;
        int status;
        double firstMs;
        boolean keepAlive = true;
        final StringBuilder events = new StringBuilder();

        void read(Socket socket, Ledger.Request request) throws IOException {
            double limitMs = request.deadlineMs + LATE_MS + OWN_SLACK_MS - Ledger.nowMs();
            socket.setSoTimeout((int) Math.max(1, limitMs));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String first = line(in);
            firstMs = Ledger.nowMs();
            status = Integer.parseInt(first.split(" ")[1]);
            socket.setSoTimeout(STREAM_LIMIT_MS);
            int length = 0;
            boolean chunked = false;
            for (String line = line(in); !line.isEmpty(); line = line(in)) {
                String lower = line.toLowerCase(Locale.ROOT);
                if (lower.startsWith("content-length:")) length = Integer.parseInt(lower.substring(15).trim());
                if (lower.startsWith("connection:") && lower.contains("close")) keepAlive = false;
                chunked |= lower.startsWith("transfer-encoding:");
            }
            if (chunked) chunks(in);
            else in.readNBytes(length);
            done = true;
        }

        private void chunks(InputStream in) throws IOException {
            for (int size = size(in); size > 0; size = size(in)) {
                events.append(new String(in.readNBytes(size), StandardCharsets.UTF_8));
                line(in);
            }
            line(in);
        }

        private int size(InputStream in) throws IOException {
            return Integer.parseInt(line(in).trim(), 16);
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) throw new IOException("ended");
            if (c != '\r') line.append((char) c);
        }
        return line.toString();
    }

    /** Connections that rest, for closing them at the end. */
    void closeIdle() {
        new ArrayDeque<>(idle).forEach(Daemon::close);
    }
}
