package org.quetzalseam.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Decodes the replies on a connection that carries one exchange at a time. It never joins parts of two replies into one, and never takes
 * for a reply what HTTP does not define as one.
 *
 * <p>The superclass accepts heads that have no meaning in HTTP, and what it makes of them no longer tells what was sent. So the bytes of
 * each head and trailer are checked ({@link HeadSyntax}), also of those that are skipped. A body is delimited only by a length or by
 * chunks; any other transfer coding fails, because it is not decoded. Bytes before a reply are bounded in number: blank lines and interim
 * replies. After a failure nothing more is decoded.
 *
 * <p>A faulty server may begin to send a reply again, stop anywhere within it, and send the next reply right after that. Read as one
 * message, the first one's status could then stand before the second one's headers and body. The second reply begins with its status
 * line, so its beginning is in the framing of the joined message: its head, the sizes and delimiters of its chunks, or its trailer.
 * A message with a status line there, other than its first line, fails.
 *
 * <p>The body of a reply that is skipped may have lost its end to the next reply, so it must not contain a status line either.
 * Used on the connection's event loop only.
 */
public final class ReplyDecoder extends HttpResponseDecoder {
    /** Interim replies that may precede the reply to a request. */
    static final int MOST_INTERIM_REPLIES = 16;

    private static final String CHUNKED = HttpHeaderValues.CHUNKED.toString();

    private final StatusLineScanner statusLines = new StatusLineScanner();
    private final HeadSyntax syntax = new HeadSyntax();
    private final ChunkFraming chunks = new ChunkFraming();
    private HttpMethod method = HttpMethod.GET;
    private int interimReplies;
    private boolean inMessage;
    private boolean inBody;
    private boolean chunked;
    private boolean skipping;
    private boolean failed;

    /** Creates a decoder for a new connection. */
    public ReplyDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Sets the method of the request in progress, which determines whether a reply has a body. */
    public void expectReplyTo(HttpMethod requestMethod) {
        method = requestMethod;
        interimReplies = 0;
    }

    /** Skips the rest of the message whose head was decoded last, because it is not the reply to the request in progress. */
    public void skipMessage() {
        skipping = inMessage;
    }

    /** Returns whether every byte that has been read belongs to a message that has been decoded whole. */
    public boolean betweenMessages() {
        return !inMessage && actualReadableBytes() == 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        if (failed) {
            buffer.skipBytes(buffer.readableBytes());
            return;
        }
        int start = buffer.readerIndex();
        int decodedBefore = out.size();
        super.decode(ctx, buffer, out);
        if (buffer.readerIndex() > start) {
            String problem = check(buffer, start, out.subList(decodedBefore, out.size()));
            if (problem != null) {
                failed = true;
                buffer.skipBytes(buffer.readableBytes());
                replace(out, decodedBefore, failure(problem));
            }
        }
    }

    /** Checks the bytes that were decoded at once, and what was made of them. Returns what is wrong, or null. */
    private @Nullable String check(ByteBuf buffer, int start, List<Object> decoded) {
        if (!inMessage) {
            beginMessage();
        }
        int end = buffer.readerIndex();
        int bodyBytes = bodyBytes(decoded);
        String problem = checkSyntax(buffer, start, end, bodyBytes);
        statusLines.add(buffer, start, end - (skipping ? 0 : bodyBytes));
        if (problem == null && statusLines.count() > 1) {
            problem = "expected the end of a reply, found another status line";
        }
        for (Object part : decoded) {
            if (part instanceof HttpResponse head && head.decoderResult().isSuccess()) {
                problem = problem == null ? checkHead(head) : problem;
                beginBody(head);
            }
            inMessage = !(part instanceof LastHttpContent);
        }
        return problem;
    }

    private void beginMessage() {
        inMessage = true;
        inBody = false;
        skipping = false;
        statusLines.reset();
        syntax.beginHead();
    }

    private void beginBody(HttpResponse head) {
        inBody = true;
        chunked = HttpUtil.isTransferEncodingChunked(head);
        chunks.begin();
        syntax.beginTrailer();
    }

    private static int bodyBytes(List<Object> decoded) {
        return decoded.stream()
                .filter(HttpContent.class::isInstance)
                .mapToInt(part -> ((HttpContent) part).content().readableBytes())
                .sum();
    }

    private @Nullable String checkSyntax(ByteBuf buffer, int start, int end, int bodyBytes) {
        if (inBody && !chunked) {
            return null;
        }
        for (int index = inBody ? chunks.add(buffer, start, end, bodyBytes) : start; index < end; index++) {
            String problem = syntax.add(buffer.getByte(index));
            if (problem != null) {
                return problem;
            }
        }
        return null;
    }

    private @Nullable String checkHead(HttpResponse head) {
        if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            return "expected HTTP, found a change to another protocol";
        }
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (!codings.isEmpty() && (codings.size() > 1 || !CHUNKED.equalsIgnoreCase(codings.get(0)))) {
            return "expected no transfer coding but chunked, found " + codings;
        }
        if (!codings.isEmpty() && head.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            return "expected no transfer coding in HTTP/1.0, found " + codings;
        }
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL && ++interimReplies > MOST_INTERIM_REPLIES) {
            return "expected at most " + MOST_INTERIM_REPLIES + " interim replies, found more";
        }
        return null;
    }

    private static void replace(List<Object> out, int from, LastHttpContent replacement) {
        while (out.size() > from) {
            ReferenceCountUtil.release(out.remove(out.size() - 1));
        }
        out.add(replacement);
    }

    private static LastHttpContent failure(String problem) {
        LastHttpContent failed = new DefaultLastHttpContent();
        failed.setDecoderResult(DecoderResult.failure(new DecoderException(problem)));
        return failed;
    }
}
