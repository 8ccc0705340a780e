import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Bad clients send bodies in chunks whose length is negative or cannot be read. Rule: they get an error or a close, and
 * nothing of theirs is served. In place of trouble the same bodies come in sound chunks.
 */
final class Chunks implements RunCase.Case {
    private static final double OWED_WITHIN_MS = 3_000;

    @Override
    public boolean run(Rig rig) throws Exception {
        Set<String> passedOn = ConcurrentHashMap.newKeySet();
        List<Rig.Engine> engines = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            boolean reader = i < 3;
            engines.add(rig.new Engine((reader ? "r" : "w") + i % 3, reader, i % 2) {
                @Override
                void serve(Rig.Connection connection, Rig.Message request) throws Exception {
                    String id = request.header("req-id");
                    if (!id.isEmpty()) {
                        passedOn.add(id);
                        rig.note("%s: body of %s: %s", name, id,
                                new String(request.body, StandardCharsets.ISO_8859_1).replace("\r\n", "~"));
                    }
                    super.serve(connection, request);
                }
            });
        }
        Rig.Gateway gateway = rig.new Gateway("n0", new Rig.Settings(), rig.new Agent(engines));
        rig.ask(gateway.port, "5000000000000000", "ask", 4, Rig.BODY, 10_000);

        String whole = chunk(Rig.BODY);
        String half = chunk(Rig.BODY.substring(0, Rig.BODY.length() / 2));
        String rest = Rig.BODY.substring(Rig.BODY.length() / 2);
        String hidden = Rig.request("5000000000000099", "book", 4, Rig.BODY);
        Map<String, String> bodies = new LinkedHashMap<>();
        // The length is negative.
        bodies.put("5000000000000001", Rig.TROUBLE ? half + "-50\r\n" + rest + "\r\n0\r\n\r\n" : whole + "0\r\n\r\n");
        // The length is no number.
        bodies.put("5000000000000002", Rig.TROUBLE ? half + "zz\r\n\r\n" : half + chunk(rest) + "0\r\n\r\n");
        // The very first length cannot be read: nothing of the body is left.
        bodies.put("5000000000000003", Rig.TROUBLE ? "zz\r\n\r\n" : whole + "0\r\n\r\n");
        // The length is wrong: the data is longer than it says.
        bodies.put("5000000000000005",
                Rig.TROUBLE ? Integer.toHexString(Rig.BODY.length() - 40) + "\r\n" + Rig.BODY + "\r\n0\r\n\r\n"
                        : whole + "0\r\n\r\n");
        // A length that cannot be read in front of what looks like another request.
        bodies.put("5000000000000004",
                Rig.TROUBLE ? half + "-1\r\n\r\n" + hidden : half + chunk(hidden) + "0\r\n\r\n");

        boolean broken = false;
        for (Map.Entry<String, String> each : bodies.entrySet()) {
            String answer = send(rig, gateway.port, each.getKey(), each.getValue());
            boolean served = answer.contains("HTTP/1.1 200");
            rig.note("%s: %s", each.getKey(), answer.replaceAll("(?s)\r\n.*", ""));
            if (!Rig.TROUBLE && !served) throw new IOException("a sound request was not served");
            boolean turnedAway = answer.matches("(?s)(HTTP/1.1 [45].*)?(<closed>)?") && !answer.isEmpty();
            if (Rig.TROUBLE && !turnedAway) {
                rig.note("broken: the bad client of %s got neither an error nor a close", each.getKey());
                broken = true;
            }
            if (Rig.TROUBLE && served) rig.note("broken: %s was served as though it had run", each.getKey());
        }
        Rig.sleep(1_000);
        if (passedOn.contains("5000000000000099")) {
            rig.note("broken: engines got a request that was part of another one's body");
            broken = true;
        }
        gateway.noteLog(10);
        System.out.println("passed on to engines: " + new java.util.TreeSet<>(passedOn));
        return broken || !gateway.process.isAlive();
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static String send(Rig rig, int port, String id, String body) throws IOException {
        StringBuilder answer = new StringBuilder();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 3_000);
            String head = "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nReq-Id: " + id
                    + "\r\nReq-Kind: book\r\nReq-Key: 7f3a9c21e0b4d655\r\nReq-Deadline: 4.000\r\n"
                    + "Req-Extra: prompt_len=30,prefix_len=0,max_out=60\r\nTransfer-Encoding: chunked\r\n\r\n";
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
            rig.note("client sends %s with the body %s", id, body.replace("\r\n", "~"));
            double untilMs = Rig.now() + OWED_WITHIN_MS;
            byte[] bytes = new byte[8_192];
            while (Rig.now() < untilMs) {
                socket.setSoTimeout(Math.max(1, (int) (untilMs - Rig.now())));
                int count = socket.getInputStream().read(bytes);
                if (count < 0) return answer + "<closed>";
                answer.append(new String(bytes, 0, count, StandardCharsets.ISO_8859_1));
            }
            return answer.toString();
        } catch (SocketTimeoutException e) {
            return answer.toString();
        }
    }
}
