package org.quetzalseam.daemon.service;

import java.net.URI;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.Message;
import org.apache.hc.core5.http.impl.bootstrap.AsyncRequesterBootstrap;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncRequester;
import org.apache.hc.core5.http.nio.AsyncClientEndpoint;
import org.apache.hc.core5.http.nio.AsyncRequestProducer;
import org.apache.hc.core5.http.nio.entity.AsyncEntityProducers;
import org.apache.hc.core5.http.nio.entity.BasicAsyncEntityConsumer;
import org.apache.hc.core5.http.nio.support.AsyncRequestBuilder;
import org.apache.hc.core5.http.nio.support.BasicResponseConsumer;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.RequestTargetHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.pool.PoolConcurrencyPolicy;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.Timeout;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.daemon.HttpClients;
import org.quetzalseam.daemon.service.ServiceException.Code;
import org.quetzalseam.wire.message.Call;
import org.quetzalseam.wire.runtime.Service;

/**
 * Makes HTTP calls and never repeats one. An idempotent call may use a connection that an earlier one has left open; any other
 * call has a connection of its own. Thread-safe.
 *
 * <p>The JDK's client cannot do this. It keeps a connection open unless the answer announces that it will be closed,
 * whatever the request asked for: a call that is then sent while the service closes the connection gets no answer
 * although it may have run. And it repeats an idempotent call whose connection breaks, so that a call during which the
 * service ended fails as if it had not been sent.
 */
final class SendOnceClient implements Service {
    /** Practically unlimited, because the endpoint's slots limit the calls that run. */
    private static final int MAX_CONNECTIONS = 65_536;
    /**
     * Enough, because an endpoint serves one service, and one thread copies its answers as fast as loopback delivers
     * them.
     */
    private static final int IO_THREADS = 1;

    private static final String STOPPED = "stopped";

    private final HttpHost host;
    private final HttpAsyncRequester requester;

    SendOnceClient(URI base) {
        this.host = new HttpHost(base.getScheme(), base.getHost(), base.getPort());
        this.requester = AsyncRequesterBootstrap.bootstrap()
                .setIOReactorConfig(IOReactorConfig.custom()
                        .setIoThreadCount(IO_THREADS)
                        .setTcpNoDelay(true)
                        .build())
                .setHttpProcessor(HttpProcessorBuilder.create()
                        .add(RequestTargetHost.INSTANCE)
                        .add(RequestContent.INSTANCE)
                        .build())
                .setPoolConcurrencyPolicy(PoolConcurrencyPolicy.LAX)
                .setDefaultMaxPerRoute(MAX_CONNECTIONS)
                .setMaxTotal(MAX_CONNECTIONS)
                .create();
    }

    @Override
    public void start() {
        requester.start();
    }

    @Override
    public void stop() {
        requester.close(CloseMode.IMMEDIATE);
    }

    /**
     * Makes a call. The future fails with a {@link ServiceException}.
     *
     * @throws IllegalArgumentException if the call cannot be expressed in HTTP
     */
    CompletableFuture<ServiceAnswer> call(Call call) {
        long limit = Math.max(1, call.timeoutMillis());
        PendingCall pending = new PendingCall(request(call), call.idempotent());
        // HttpCore also applies the timeout given here as the connection's idle timeout, so it must not be the connect
        // timeout.
        Future<AsyncClientEndpoint> unused = requester.connect(host, Timeout.ofMilliseconds(limit), null, pending);
        return pending.answer(limit);
    }

    private AsyncRequestProducer request(Call call) {
        AsyncRequestBuilder builder =
                AsyncRequestBuilder.create(call.method()).setHttpHost(host).setPath(call.path());
        HttpServiceClient.forwardedHeaders(call).forEach(builder::setHeader);
        if (!call.idempotent()) {
            builder.setHeader("Connection", "close");
        }
        if (call.body().length > 0) {
            builder.setEntity(AsyncEntityProducers.create(call.body(), null));
        }
        return builder.build();
    }

    /** One call, from connecting to its answer. */
    private static final class PendingCall implements FutureCallback<AsyncClientEndpoint> {
        private final AsyncRequestProducer request;
        private final boolean reusable;
        /**
         * Completed by the connection or by the connect timeout; whichever comes first decides whether the call is
         * sent.
         */
        private final CompletableFuture<AsyncClientEndpoint> connecting = new CompletableFuture<>();

        private final CompletableFuture<ServiceAnswer> answer = new CompletableFuture<>();

        PendingCall(AsyncRequestProducer request, boolean reusable) {
            this.request = request;
            this.reusable = reusable;
        }

        /** Returns the answer. After the limit the call counts as started, even if it was still connecting. */
        CompletableFuture<ServiceAnswer> answer(long limitMillis) {
            CompletableFuture<Void> unused = connecting
                    .orTimeout(HttpClients.CONNECT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                    .handle((connection, failure) -> {
                        if (failure != null) {
                            failNotConnected(failure);
                        }
                        return null;
                    });
            return answer.orTimeout(limitMillis, TimeUnit.MILLISECONDS).exceptionallyCompose(failure -> {
                boolean timedOut = HttpClients.cause(failure) instanceof TimeoutException;
                return CompletableFuture.failedFuture(
                        timedOut
                                ? new ServiceException(Code.TIMEOUT, "the service did not answer in time", failure)
                                : failure);
            });
        }

        private void failNotConnected(Throwable failure) {
            boolean timedOut = failure instanceof TimeoutException;
            String reason = timedOut
                    ? "no connection within " + HttpClients.CONNECT_TIMEOUT.toMillis() + " ms"
                    : String.valueOf(failure.getMessage());
            fail(Code.NOT_RUN, reason, failure);
        }

        @Override
        public void completed(AsyncClientEndpoint connection) {
            if (!connecting.complete(connection) || answer.isDone()) {
                connection.releaseAndDiscard();
                return;
            }
            CompletableFuture<ServiceAnswer> unusedAnswer = answer.whenComplete((result, failure) -> {
                if (failure != null) {
                    connection.releaseAndDiscard();
                }
            });
            Future<Message<HttpResponse, byte[]>> unused = connection.execute(
                    request, new BasicResponseConsumer<>(new BasicAsyncEntityConsumer()), new Exchange(connection));
        }

        @Override
        public void failed(Exception failure) {
            connecting.completeExceptionally(failure);
        }

        @Override
        public void cancelled() {
            connecting.completeExceptionally(new CancellationException(STOPPED));
        }

        private void fail(Code code, String reason, @Nullable Throwable failure) {
            answer.completeExceptionally(new ServiceException(code, "the service gave no answer: " + reason, failure));
        }

        private final class Exchange implements FutureCallback<Message<HttpResponse, byte[]>> {
            private final AsyncClientEndpoint connection;

            Exchange(AsyncClientEndpoint connection) {
                this.connection = connection;
            }

            @Override
            public void completed(Message<HttpResponse, byte[]> response) {
                if (reusable) {
                    connection.releaseAndReuse();
                } else {
                    connection.releaseAndDiscard();
                }
                answer.complete(toAnswer(response));
            }

            @Override
            public void failed(Exception failure) {
                fail(Code.NO_ANSWER, String.valueOf(failure.getMessage()), failure);
            }

            @Override
            public void cancelled() {
                fail(Code.NO_ANSWER, STOPPED, null);
            }
        }
    }

    private static ServiceAnswer toAnswer(Message<HttpResponse, byte[]> response) {
        Map<String, String> headers = new HashMap<>();
        for (Header header : response.getHead().getHeaders()) {
            if (HttpServiceClient.isForwarded(header.getName())) {
                headers.merge(
                        header.getName().toLowerCase(Locale.ROOT),
                        header.getValue(),
                        (first, second) -> first + ", " + second);
            }
        }
        byte[] body = response.getBody();
        return new ServiceAnswer(response.getHead().getCode(), headers, body == null ? new byte[0] : body);
    }
}
