package org.quetzalseam.gateway.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.RecvByteBufAllocator;
import java.net.InetSocketAddress;

/** Opens listening sockets. Stateless. */
public final class ListeningSockets {
    private static final int LEAST_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2 * 1024;
    /** Most bytes that are read from a connection before its user can stop the reading. */
    private static final int MOST_READ_BYTES = 16 * 1024;

    private ListeningSockets() {}

    /** Returns how much is read at once from a connection that was accepted. */
    public static RecvByteBufAllocator receiveBuffers() {
        return new AdaptiveRecvByteBufAllocator(LEAST_READ_BYTES, FIRST_READ_BYTES, MOST_READ_BYTES);
    }

    /**
     * Opens a socket that listens on an address. For port 0 the operating system chooses a port. Blocks until the socket is
     * bound.
     *
     * @throws GatewayException if the process cannot listen on the address
     */
    public static Channel bind(ServerBootstrap bootstrap, InetSocketAddress address) {
        ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            String why = "cannot listen on " + address + ": " + bound.cause().getMessage();
            throw new GatewayException(GatewayException.Code.ADDRESS_UNUSABLE, why, bound.cause());
        }
        return bound.channel();
    }

    /** Returns the address that a bound channel listens on, with the port in use. */
    public static InetSocketAddress localAddress(Channel bound) {
        return (InetSocketAddress) bound.localAddress();
    }
}
