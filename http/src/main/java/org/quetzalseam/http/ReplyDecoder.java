package org.quetzalseam.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Decodes the replies on a connection that carries one exchange at a time, and never joins parts of two replies into one.
 *
 * <p>A faulty server may begin to send a reply again, stop anywhere within it, and send the next reply right after that. Read as one
 * message, the first one's status could then stand before the second one's headers and body. The second reply begins with its status
 * line, so its beginning is in the framing of the joined message: its head, the sizes and delimiters of its chunks, or its trailer.
 * A message with a status line there, other than its first line, fails. So does one whose first line does not begin with a version of
 * HTTP.
 *
 * <p>The body of a reply that is skipped may have lost its end to the next reply, so it must not contain a status line either.
 * Used on the connection's event loop only.
 */
public final class ReplyDecoder extends HttpResponseDecoder {
    private final StatusLineScanner statusLines = new StatusLineScanner();
    private HttpMethod method = HttpMethod.GET;
    private boolean inMessage;
    private boolean skipping;

    /** Creates a decoder for a new connection. */
    public ReplyDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Sets the method of the request in progress, which determines whether a reply has a body. */
    public void expectReplyTo(HttpMethod requestMethod) {
        method = requestMethod;
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
        int start = buffer.readerIndex();
        int decodedBefore = out.size();
        super.decode(ctx, buffer, out);
        if (buffer.readerIndex() > start) {
            check(buffer, start, out, decodedBefore);
        }
    }

    private void check(ByteBuf buffer, int start, List<Object> out, int decodedBefore) {
        if (!inMessage) {
            inMessage = true;
            skipping = false;
            statusLines.reset();
        }
        boolean isHead = false;
        int bodyBytes = 0;
        String problem = null;
        for (int index = decodedBefore; index < out.size(); index++) {
            Object decoded = out.get(index);
            if (decoded instanceof HttpResponse head) {
                problem = problem(head);
                isHead = head.decoderResult().isSuccess();
            }
            if (decoded instanceof HttpContent part) {
                bodyBytes += part.content().readableBytes();
                inMessage = !(part instanceof LastHttpContent);
            }
        }
        statusLines.add(buffer, start, buffer.readerIndex() - (skipping ? 0 : bodyBytes));
        if (statusLines.count() > 1) {
            problem = "expected the end of a reply, found another status line";
        } else if (isHead && statusLines.count() == 0) {
            problem = "expected a status line such as HTTP/1.1 200, found another form";
        }
        if (problem != null) {
            buffer.skipBytes(buffer.readableBytes());
            replace(out, decodedBefore, failure(problem));
        }
    }

    private static void replace(List<Object> out, int from, LastHttpContent replacement) {
        while (out.size() > from) {
            ReferenceCountUtil.release(out.remove(out.size() - 1));
        }
        out.add(replacement);
    }

    private static @Nullable String problem(HttpResponse head) {
        HttpVersion version = head.protocolVersion();
        if (head.decoderResult().isSuccess()
                && !version.equals(HttpVersion.HTTP_1_1)
                && !version.equals(HttpVersion.HTTP_1_0)) {
            return "expected a reply of HTTP/1.0 or HTTP/1.1, found " + version;
        }
        if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            return "expected HTTP, found a change to another protocol";
        }
        return null;
    }

    private static LastHttpContent failure(String problem) {
        LastHttpContent failed = new DefaultLastHttpContent();
        failed.setDecoderResult(DecoderResult.failure(new DecoderException(problem)));
        return failed;
    }
}
