package maplerail.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import maplerail.config.NodeConfig;
import maplerail.core.Lifecycle.Phase;

/**
 * Runs a gateway that serves a few requests to itself and stops. The build runs it to record the loaded classes in an
 * archive for class data sharing: a gateway that starts from the archive is ready sooner, which matters on a restart.
 */
final class Rehearsal {
    private static final String BODY = "{\"stream\":true}";
    private static final int ROUNDS = 5;

    private Rehearsal() {}

    static void run() throws IOException, InterruptedException {
        try (ServerSocket engine = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                ServerSocket agent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                InputStream text = Rehearsal.class.getResourceAsStream("/rehearsal.json")) {
            String config = new String(text.readAllBytes(), StandardCharsets.UTF_8);
            config = config.replace("127.0.0.1:9\"", "127.0.0.1:" + engine.getLocalPort() + "\"")
                    .replace("127.0.0.1:1\"", "127.0.0.1:" + agent.getLocalPort() + "\"");
            Gateway gateway = new Gateway(NodeConfig.read(config, Map.of()), null);
            startThread("engine", () -> serve(engine));
            startThread("agent", () -> confirmList(agent));
            gateway.start();
            while (gateway.phase() != Phase.READY) Thread.onSpinWait();
            String headerStart = " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: ";
            send(gateway.address(), "GET /-/ready" + headerStart + "0\r\n\r\n");
            send(gateway.address(), "POST /" + headerStart + "0\r\n\r\n");
            for (int i = 0; i < ROUNDS; i++) {
                send(gateway.address(), "POST /v1/chat/completions" + headerStart + BODY.length() + "\r\nReq-Id: r" + i
                        + "\r\nReq-Kind: a\r\nReq-Owner: b\r\nReq-Key: 7f\r\nReq-Deadline: 0.5\r\n"
                        + "Req-Extra: prefix=5c,prompt_len=900,prefix_len=500,max_out=90\r\n\r\n" + BODY);
            }
            gateway.drain();
            gateway.join();
        }
    }

    private static void send(InetSocketAddress address, String request) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            socket.getInputStream().readAllBytes();
        }
    }

    private static void startThread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Answers discovery's first call, which confirms the known list; the next one waits for a change. */
    private static void confirmList(ServerSocket agent) {
        String list = "{\"seq\":1,\"whole\":false,\"hosts\":[]}";
        try (Socket socket = agent.accept()) {
            readHead(socket);
            reply(socket, "200 X\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
        } catch (IOException e) {
            return; // the rehearsal is over
        }
    }

    private static void readHead(Socket socket) throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(),
                StandardCharsets.US_ASCII));
        for (String line = in.readLine(); line != null && !line.isEmpty();) line = in.readLine();
    }

    private static void reply(Socket socket, String answer) throws IOException {
        socket.getOutputStream().write(("HTTP/1.1 " + answer).getBytes(StandardCharsets.US_ASCII));
    }

    /** Answers the one request of each connection, in turn with an error, as a writer and twice as a reader. */
    private static void serve(ServerSocket engine) {
        for (int count = 0;; count++) {
            try (Socket socket = engine.accept()) {
                readHead(socket);
                String answer = switch (count % 4) {
                    case 0 -> "500 X\r\nContent-Length: 0\r\n\r\n";
                    case 1 -> "200 X\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n0\r\n\r\n";
                    default -> "202 X\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}";
                };
                reply(socket, answer);
            } catch (IOException e) {
                return; // the rehearsal is over
            }
        }
    }
}
