package org.quetzalseam.daemon.service;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.daemon.service.ServiceException.Code;
import org.quetzalseam.http.ReplyDecoder;
import org.quetzalseam.wire.FrameCodec;

/**
 * A connection to a service that carries one call at a time. An answer counts only if it is whole: a connection that ends within a head,
 * or before the end that the head states, fails the call. Used on its event loop only, except where stated otherwise.
 *
 * <p>A faulty service may send an answer twice. The connection is used again only if the answer echoed the call's id, and an answer to
 * a later call counts only if it does, too. Data that belongs to no call closes the connection.
 */
// A write or close that fails is reported through the channel's pipeline, where it is handled.
@SuppressWarnings("FutureReturnValueIgnored")
final class ServiceConnection extends ChannelInboundHandlerAdapter {
    /** The header with the id of a sending, which the service is asked to echo. */
    static final String CALL_ID = "Quetzalseam-Call-Id";
    /** Longest answer, in bytes: what one message to an entry carries beside the answer's headers. */
    private static final long MOST_BYTES = FrameCodec.MAX_FRAME_BYTES - 256 * 1024L;

    private static final long RESERVE_AGAIN_MILLIS = 20;

    private final ReplyDecoder decoder;
    private final Consumer<ServiceConnection> onIdle;
    private final Consumer<ServiceConnection> onClosed;
    private final AnswerMemory memory;
    private ByteArrayOutputStream body = new ByteArrayOutputStream();
    /** Bytes reserved for the answer that is being received. */
    private long reserved;

    /** Whether the answer waits for memory. */
    private boolean paused;

    private boolean toHead;
    private volatile @Nullable Channel channel;
    private @Nullable CompletableFuture<ServiceAnswer> answer;
    private @Nullable ChannelFuture written;
    private @Nullable HttpResponse head;
    private @Nullable ServiceAnswer received;
    private String callId = "";
    private boolean usedBefore;
    private boolean skipping;

    /**
     * Creates a connection.
     *
     * @param decoder decodes the connection's answers
     * @param memory bounds the memory of the answers of all connections
     * @param onIdle called when the connection could carry another call
     * @param onClosed called when the connection has closed
     */
    ServiceConnection(
            ReplyDecoder decoder,
            AnswerMemory memory,
            Consumer<ServiceConnection> onIdle,
            Consumer<ServiceConnection> onClosed) {
        this.memory = memory;
        this.decoder = decoder;
        this.onIdle = onIdle;
        this.onClosed = onClosed;
    }

    /** Returns whether the connection is open. May be called by any thread. */
    boolean open() {
        Channel opened = channel;
        return opened != null && opened.isActive();
    }

    /** Closes the connection. May be called by any thread. */
    void close() {
        Channel opened = channel;
        if (opened != null) {
            opened.close();
        }
    }

    /** Sends a call, unless its answer is no longer waited for. May be called by any thread. */
    void send(FullHttpRequest request, CompletableFuture<ServiceAnswer> expected) {
        Channel opened = channel;
        if (opened == null || expected.isDone()) {
            request.release();
            close();
            return;
        }
        try {
            opened.eventLoop().execute(() -> begin(opened, request, expected));
        } catch (RejectedExecutionException e) {
            request.release();
            expected.completeExceptionally(
                    new ServiceException(Code.NOT_RUN, "the service gave no answer: the client has stopped", e));
        }
    }

    private void begin(Channel opened, FullHttpRequest request, CompletableFuture<ServiceAnswer> expected) {
        answer = expected;
        expected.whenComplete((result, failure) -> {
            if (failure != null) {
                close();
            }
        });
        decoder.expectReplyTo(request.method());
        toHead = request.method().equals(HttpMethod.HEAD);
        callId = request.headers().get(CALL_ID, "");
        head = null;
        written = opened.writeAndFlush(request);
        if (!opened.isActive()) {
            fail("the connection was closed before the call was sent", null);
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws IOException {
        try {
            if (answer == null || received != null) {
                // Data that belongs to no call: the connection cannot carry another one.
                close();
                return;
            }
            if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
                fail("not a whole answer: " + part.decoderResult().cause(), null);
                return;
            }
            if (message instanceof HttpResponse response) {
                receiveHead(response);
            }
            if (message instanceof HttpContent content) {
                receive(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void receiveHead(HttpResponse response) {
        skipping = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (skipping) {
            decoder.skipMessage();
            return;
        }
        boolean withoutId = !response.headers().contains(CALL_ID);
        if (echoesId(response) || (withoutId && !usedBefore)) {
            head = response;
            reserveStatedLength(HttpUtil.getContentLength(response, 0L));
        } else {
            fail(
                    "expected the answer to call " + callId + ", found "
                            + response.headers().getAll(CALL_ID),
                    null);
        }
    }

    /** Reserves memory for an answer whose length is stated; until there is some, no more of it is read. */
    private void reserveStatedLength(long length) {
        if (toHead || length <= AnswerMemory.SMALL_BYTES) {
            return;
        }
        if (length > MOST_BYTES || !memory.fits(length)) {
            failForLength(length);
            return;
        }
        paused = !memory.tryReserve(length, length);
        if (paused) {
            setReading(false);
            retryLater(length);
            return;
        }
        reserved = length;
        ByteArrayOutputStream begun = body;
        body = new ByteArrayOutputStream((int) length);
        body.writeBytes(begun.toByteArray());
        setReading(true);
    }

    private void retryLater(long length) {
        Channel opened = channel;
        if (opened != null) {
            opened.eventLoop()
                    .schedule(
                            () -> {
                                if (answer != null && open()) {
                                    reserveStatedLength(length);
                                }
                            },
                            RESERVE_AGAIN_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private void setReading(boolean reading) {
        Channel opened = channel;
        if (opened != null) {
            opened.config().setAutoRead(reading);
        }
    }

    /** Reserves memory for the next part of an answer. Returns false, and fails the call, if there is none. */
    private boolean reservePart(int bytes) {
        long length = (long) body.size() + bytes;
        long missing = length - reserved;
        if (paused || missing <= 0) {
            return true;
        }
        if (length <= MOST_BYTES && memory.tryReserve(missing, length)) {
            reserved += missing;
            return true;
        }
        failForLength(length);
        return false;
    }

    private void failForLength(long length) {
        String bound = "expected at most " + MOST_BYTES + " bytes, and memory for them, found " + length + "; ";
        fail(bound + memory.describe(), null);
    }

    private void releaseMemory() {
        memory.release(reserved);
        reserved = 0;
        paused = false;
        body = new ByteArrayOutputStream();
    }

    private boolean echoesId(HttpResponse response) {
        return response.headers().getAll(CALL_ID).equals(List.of(callId));
    }

    private void receive(HttpContent content) throws IOException {
        HttpResponse whole = head;
        boolean last = content instanceof LastHttpContent;
        if (skipping || whole == null) {
            skipping = skipping && !last;
            return;
        }
        ByteBuf part = content.content();
        if (!reservePart(part.readableBytes())) {
            return;
        }
        part.readBytes(body, part.readableBytes());
        if (last && !isFramed(whole) && !requestWritten()) {
            // The decoder makes the same end of a connection that a failed write has closed.
            fail("closed while the call was being written", null);
        } else if (last) {
            received = new ServiceAnswer(whole.status().code(), forwardedHeaders(whole), body.toByteArray());
        }
    }

    private static boolean isFramed(HttpResponse response) {
        return HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
    }

    private boolean requestWritten() {
        ChannelFuture request = written;
        return request != null && request.isSuccess();
    }

    private static Map<String, String> forwardedHeaders(HttpResponse response) {
        Map<String, String> headers = new HashMap<>();
        response.headers().forEach(header -> {
            if (HttpServiceClient.isForwarded(header.getKey())) {
                headers.merge(
                        header.getKey().toLowerCase(Locale.ROOT),
                        header.getValue(),
                        (first, second) -> first + ", " + second);
            }
        });
        return headers;
    }

    /** Not earlier, because data that follows the answer in the same read must first be detected as unsolicited. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        CompletableFuture<ServiceAnswer> waiting = answer;
        ServiceAnswer whole = received;
        HttpResponse wholeHead = head;
        if (waiting == null && !decoder.betweenMessages()) {
            // The beginning of data that belongs to no call.
            close();
        }
        if (waiting == null || whole == null || wholeHead == null) {
            return;
        }
        answer = null;
        received = null;
        usedBefore = true;
        if (HttpUtil.isKeepAlive(wholeHead)
                && isDelimited(wholeHead)
                && echoesId(wholeHead)
                && decoder.betweenMessages()
                && requestWritten()
                && ctx.channel().isActive()) {
            onIdle.accept(this);
        } else {
            close();
        }
        waiting.complete(whole);
        releaseMemory();
    }

    /** Returns whether the end of an answer was stated otherwise than by the end of its connection. */
    private static boolean isDelimited(HttpResponse response) {
        int status = response.status().code();
        return isFramed(response) || status == 204 || status == 304;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail(String.valueOf(cause.getMessage()), cause);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        channelReadComplete(ctx);
        onClosed.accept(this);
        fail("the connection was closed before the end of the answer", null);
    }

    private void fail(String reason, @Nullable Throwable cause) {
        CompletableFuture<ServiceAnswer> waiting = answer;
        answer = null;
        received = null;
        releaseMemory();
        close();
        if (waiting != null) {
            waiting.completeExceptionally(
                    new ServiceException(Code.NO_ANSWER, "the service gave no answer: " + reason, cause));
        }
    }
}
