package org.quetzalseam.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Collects a small reply and delivers it when it is complete. */
public final class ReplyCollector implements ReplyListener {
    private final int maxBytes;
    private final BiConsumer<HttpResponse, ByteBuf> onComplete;
    private final Consumer<CallFailure> onFailure;
    private final ByteBuf collected = Unpooled.buffer();
    private @Nullable HttpResponse head;
    private boolean ended;

    /**
     * Creates a collector.
     *
     * @param maxBytes the longest body that is accepted, in bytes
     * @param onComplete receives the head and the body, and owns the body
     * @param onFailure receives the reason if there is no complete reply
     */
    public ReplyCollector(int maxBytes, BiConsumer<HttpResponse, ByteBuf> onComplete, Consumer<CallFailure> onFailure) {
        this.maxBytes = maxBytes;
        this.onComplete = onComplete;
        this.onFailure = onFailure;
    }

    /** Returns the body as UTF-8 text. */
    public static String text(ByteBuf body) {
        return body.toString(StandardCharsets.UTF_8);
    }

    @Override
    public void head(HttpResponse response) {
        head = response;
    }

    @Override
    public long maxBodyBytes() {
        return maxBytes;
    }

    @Override
    public void body(ByteBuf part) {
        collected.writeBytes(part);
        part.release();
    }

    @Override
    public void completed() {
        HttpResponse completeHead = head;
        if (ended || completeHead == null) {
            return;
        }
        ended = true;
        onComplete.accept(completeHead, collected);
    }

    @Override
    public void failed(CallFailure failure) {
        if (!ended) {
            ended = true;
            onFailure.accept(failure);
        }
    }
}
