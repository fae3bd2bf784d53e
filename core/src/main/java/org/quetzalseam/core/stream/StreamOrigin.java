package org.quetzalseam.core.stream;

import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.fleet.Incarnation;
import org.quetzalseam.core.fleet.Member;

/**
 * Where a stream began. It may go on only at the same build of the same service, because what two builds write does not fit
 * together and endpoints do not check it. Immutable.
 *
 * @param service the service whose endpoint sent the first event
 * @param endpoint the incarnation that sent it; its build never changes
 * @param build the build of that endpoint, or null if it was not known
 */
public record StreamOrigin(
        String service, Incarnation endpoint, @Nullable String build) {
    private static final Incarnation NO_ENDPOINT = new Incarnation("", Incarnation.UNKNOWN_START);

    /** Returns the origin of a stream that an endpoint begins. */
    public static StreamOrigin at(Member member) {
        return new StreamOrigin(member.service(), member.incarnation(), member.build());
    }

    /** Returns the origin of a stream that began at an unknown endpoint of a build. */
    public static StreamOrigin atBuild(String service, String build) {
        return new StreamOrigin(service, NO_ENDPOINT, build);
    }

    /** Returns whether the stream may go on at an endpoint. */
    public boolean allows(Member member) {
        boolean sameBuild = build != null && build.equals(member.build());
        return service.equals(member.service()) && (sameBuild || endpoint.equals(member.incarnation()));
    }

    /**
     * Returns what this and another statement about streams of one attempt's id amount to. If they differ, two attempts had the same
     * id, and no endpoint is allowed, because events of either may have reached the caller.
     */
    public StreamOrigin merge(StreamOrigin other) {
        boolean sameBuild = build != null && build.equals(other.build);
        boolean same = service.equals(other.service) && (sameBuild || endpoint.equals(other.endpoint));
        if (!same) {
            return new StreamOrigin(service, NO_ENDPOINT, null);
        }
        return build == null ? other : this;
    }
}
