package org.quetzalseam.standins.raw;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BiConsumer;

/**
 * Answers that HTTP/1.1 does not define: one line of each is broken, and the rest of it is sound. Beside them stand sound answers of
 * unusual forms, which a client must accept.
 */
public final class BrokenAnswers {
    private static final String SOUND_STATUS = "HTTP/1.1 200 OK";
    private static final String EARLY_HINTS = "HTTP/1.1 103 Early Hints";

    private static final List<String> STATUS_LINES = List.of(
            "HTTP/1.1 000 Nothing",
            "HTTP/1.1 000",
            "HTTP/1.1 099 Low",
            "HTTP/1.1 600 High",
            "HTTP/1.1 999 High",
            "HTTP/1.1 1000 Long",
            "HTTP/1.1 2000 OK",
            "HTTP/1.1 0200 OK",
            "HTTP/1.1 0 Short",
            "HTTP/1.1 20 OK",
            "HTTP/1.1 -200 OK",
            "HTTP/1.1 2x0 OK",
            "HTTP/1.1 ",
            "HTTP/1.1  200 OK",
            "HTTP/1.1 \t200 OK",
            "HTTP/1.1\t200 OK",
            "HTTP/1.1 200\tOK",
            "HTTP/1.1 200 O\u0001K",
            "HTTP/1.1 200 O\u0000K",
            "HTTP/1.1 200 O\u007fK",
            "HTTP/1.1 200 O\rK",
            " HTTP/1.1 200 OK",
            "\u0001HTTP/1.1 200 OK",
            "HTTP/1.2 200 OK",
            "HTTP/2.0 200 OK",
            "http/1.1 200 OK",
            "ICY 200 OK");

    private static final List<String> FIELD_LINES = List.of(
            "Content Length: 3",
            "X Odd: 1",
            "X-Odd here: 1",
            "X\tOdd: 1",
            "X\u0001Odd: 1",
            "X\u0000Odd: 1",
            "X\u007fOdd: 1",
            "X\u000bOdd: 1",
            "X(Odd): 1",
            "X\u00e9Odd: 1",
            ": 1",
            "X-Odd",
            "X-Odd: a\u0001b",
            "X-Odd: a\u0000b",
            "X-Odd: a\rb",
            "Content-Length\u0001: 3",
            "Content-Length x: 3",
            "Transfer-Encoding x: chunked");

    /** Lines that alone could state where the body ends. */
    private static final List<String> FRAMING_LINES = List.of(
            "Content-Length x: 3",
            "Content-Length\tx: 3",
            "Content-Length: +3",
            "Content-Length: 0x3",
            "Content-Length: 3 3",
            "Content-Length: -3",
            "Transfer-Encoding x: chunked",
            "Transfer-Encoding: xchunked",
            "Transfer-Encoding: gzip",
            "Transfer-Encoding: gzip, chunked",
            "Transfer-Encoding: chunked, gzip");

    private final List<String> fields;
    private final String body;

    /**
     * Creates answers with a body.
     *
     * @param body a body of printable ASCII
     * @param fields the sound field lines of each answer, without line breaks
     */
    public BrokenAnswers(String body, String... fields) {
        this.body = body;
        this.fields = List.of(fields);
    }

    /**
     * An answer.
     *
     * @param name names the form of the answer, in printable ASCII
     * @param text the whole answer
     * @param closes whether the connection ends after it
     */
    public record Answer(String name, String text, boolean closes) {
        /** Sends the answer on a connection. */
        public void send(RawConnection connection) throws IOException {
            connection.write(text);
            if (closes) {
                connection.finish();
            }
        }

        @Override
        public String toString() {
            return name;
        }
    }

    /** Returns the broken answers. */
    public List<Answer> broken() {
        List<Answer> answers = new ArrayList<>();
        STATUS_LINES.forEach(line -> {
            add(answers, line, whole(line, fields), false);
            add(answers, line + ", without a length", head(line, fields) + body, true);
        });
        FIELD_LINES.forEach(line -> inEachPlace(line, (place, lines) -> {
            add(answers, line + ", " + place, whole(SOUND_STATUS, lines), false);
            String interim = head(EARLY_HINTS, lines);
            add(answers, line + ", " + place + " of an interim answer", interim + whole(SOUND_STATUS, fields), false);
        }));
        add(answers, "a blank before the first name", whole(SOUND_STATUS, prepend(" X-Odd: 1")), false);
        FRAMING_LINES.forEach(line -> {
            add(answers, line + ", alone", head(SOUND_STATUS, prepend(line)) + body, true);
            add(answers, line + ", alone, before chunks", head(SOUND_STATUS, prepend(line)) + chunks(""), true);
        });
        FIELD_LINES
                .subList(0, FIELD_LINES.indexOf("X-Odd: a\u0001b"))
                .forEach(line -> add(
                        answers,
                        line + ", in a trailer",
                        head(SOUND_STATUS, prepend("Transfer-Encoding: chunked"))
                                + chunks("X-Sum: 1\r\n" + line + "\r\n"),
                        false));
        return answers;
    }

    /** Returns one of the broken answers, drawn at random. */
    public Answer anyBroken() {
        List<Answer> broken = broken();
        return broken.get(ThreadLocalRandom.current().nextInt(broken.size()));
    }

    /** Returns sound answers whose form is unusual. */
    public List<Answer> unusual() {
        List<Answer> answers = new ArrayList<>();
        add(answers, "no reason", whole("HTTP/1.1 200", fields), false);
        add(answers, "an empty reason", whole("HTTP/1.1 200 ", fields), false);
        add(answers, "HTTP/1.0", whole("HTTP/1.0 200 OK", fields), true);
        add(answers, "a reason with a tab and other letters", whole("HTTP/1.1 200 \tg\u00fct", fields), false);
        add(answers, "a blank before a colon", whole(SOUND_STATUS, prepend("X-Odd : 1")), false);
        add(answers, "a folded line", whole(SOUND_STATUS, prepend("X-Odd: 1\r\n 2")), false);
        add(answers, "an empty value", whole(SOUND_STATUS, prepend("X-Odd:")), false);
        add(answers, "all letters of names", whole(SOUND_STATUS, prepend("!#$%&'*+-.^_`|~09azAZ: \t\u00e9~")), false);
        add(answers, "blank lines before it", "\r\n\r\n" + whole(SOUND_STATUS, fields), false);
        add(
                answers,
                "interim answers",
                (EARLY_HINTS + "\r\nA: b\r\n\r\n").repeat(3) + whole(SOUND_STATUS, fields),
                false);
        String chunked = head(SOUND_STATUS, prepend("Transfer-Encoding: Chunked"));
        add(answers, "chunks with a trailer", chunked + chunks("X-Sum : 1\r\n"), false);
        add(answers, "no length", head(SOUND_STATUS, fields) + body, true);
        return answers;
    }

    private static void add(List<Answer> answers, String name, String text, boolean closes) {
        answers.add(new Answer(printable(name), text, closes));
    }

    private static String printable(String text) {
        StringBuilder printable = new StringBuilder();
        text.chars()
                .forEach(character -> printable.append(
                        character >= ' ' && character < '\u007f' ? (char) character : "<" + character + ">"));
        return printable.toString();
    }

    private void inEachPlace(String line, BiConsumer<String, List<String>> use) {
        use.accept("first", prepend(line));
        List<String> last = new ArrayList<>(fields);
        last.add(line);
        use.accept("last", last);
    }

    private List<String> prepend(String line) {
        List<String> lines = new ArrayList<>();
        lines.add(line);
        lines.addAll(fields);
        return lines;
    }

    private static String head(String statusLine, List<String> lines) {
        StringBuilder head = new StringBuilder(statusLine).append("\r\n");
        lines.forEach(line -> head.append(line).append("\r\n"));
        return head.append("\r\n").toString();
    }

    private String whole(String statusLine, List<String> lines) {
        List<String> framed = new ArrayList<>(lines);
        framed.add(framed.size() / 2, "Content-Length: " + body.length());
        return head(statusLine, framed) + body;
    }

    private String chunks(String trailer) {
        return Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n" + trailer + "\r\n";
    }
}
