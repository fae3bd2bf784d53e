package org.quetzalseam.daemon.http;

import java.io.ByteArrayOutputStream;
import java.net.http.HttpResponse.BodyHandler;
import java.net.http.HttpResponse.BodySubscribers;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.Flow;

/** Collects a body and fails once it is longer than any sound one, because a faulty server may send bytes without end. */
public final class BoundedBody implements Flow.Subscriber<List<ByteBuffer>> {
    private final int mostBytes;
    private final ByteArrayOutputStream collected = new ByteArrayOutputStream();

    private BoundedBody(int mostBytes) {
        this.mostBytes = mostBytes;
    }

    /** Returns a handler that collects a body of so many bytes at most; a call with a longer one fails. */
    public static BodyHandler<byte[]> ofAtMost(int mostBytes) {
        return info -> BodySubscribers.fromSubscriber(new BoundedBody(mostBytes), BoundedBody::bytes);
    }

    private byte[] bytes() {
        return collected.toByteArray();
    }

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(List<ByteBuffer> parts) {
        for (ByteBuffer part : parts) {
            if (part.remaining() > mostBytes - collected.size()) {
                throw new IllegalStateException("expected a body of at most " + mostBytes + " bytes, found more");
            }
            byte[] bytes = new byte[part.remaining()];
            part.get(bytes);
            collected.writeBytes(bytes);
        }
    }

    @Override
    public void onError(Throwable failure) {
        // The future of the body fails.
    }

    @Override
    public void onComplete() {
        // The future of the body takes bytes().
    }
}
