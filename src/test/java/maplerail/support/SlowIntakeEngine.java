package maplerail.support;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An engine that takes in requests slowly, or stops taking them in; releases are answered at once. */
public final class SlowIntakeEngine implements AutoCloseable {
    private static final int RECEIVE_BUFFER_BYTES = 4 * 1024;
    private static final int PAUSE_MS = 20;
    private static final Pattern LENGTH = Pattern.compile("(?i)\r\ncontent-length: ?(\\d+)");

    private final ServerSocket server = new ServerSocket();
    private final int bytesPerSecond;
    private final int stopsAfterBytes;
    private final String answer;
    private final AtomicInteger answered = new AtomicInteger();

    /**
     * Starts an engine.
     *
     * @param bytesPerSecond how fast it reads a request
     * @param stopsAfterBytes after how many bytes of a connection it stops reading for good
     * @param answer the whole answer to a request that has arrived
     */
    public SlowIntakeEngine(int bytesPerSecond, int stopsAfterBytes, String answer) throws IOException {
        this.bytesPerSecond = bytesPerSecond;
        this.stopsAfterBytes = stopsAfterBytes;
        this.answer = answer;
        server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
        start(this::accept);
    }

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private static void start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                return; // the connection or the engine is closed
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            start(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            InputStream in = socket.getInputStream();
            int read = 0;
            while (true) {
                StringBuilder head = new StringBuilder();
                while (head.indexOf("\r\n\r\n") < 0) {
                    int next = in.read();
                    if (next < 0) return;
                    head.append((char) next);
                }
                if (head.indexOf("DELETE") == 0) {
                    write(socket, "HTTP/1.1 204 No Content\r\n\r\n");
                    continue;
                }
                Matcher length = LENGTH.matcher(head);
                read = takeIn(in, read, length.find() ? Integer.parseInt(length.group(1)) : 0);
                if (read < 0) return;
                write(socket, answer);
                answered.incrementAndGet();
            }
        }
    }

    /** Reads a body; returns how many bytes of the connection have been read, or -1 if it was closed. */
    private int takeIn(InputStream in, int readBefore, int length) throws IOException, InterruptedException {
        int read = readBefore;
        byte[] buffer = new byte[Math.max(1, bytesPerSecond * PAUSE_MS / 1_000)];
        for (int left = length; left > 0;) {
            while (read >= stopsAfterBytes) TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
            int count = in.read(buffer, 0, Math.min(buffer.length, left));
            if (count < 0) return -1;
            left -= count;
            read += count;
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        }
        return read;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The address in the form host:port, as in the list of engines. */
    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Returns the number of requests that were taken in whole and answered. */
    public int answered() {
        return answered.get();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
