package org.quetzalseam.cli.operate;

/** Exit codes of the operator commands. */
public final class ExitCodes {
    /** The command succeeded. */
    public static final int OK = 0;

    /** The request was refused, a check failed, or nothing was found. */
    public static final int REFUSED = 1;

    /** The command's input is invalid. */
    public static final int BAD_INPUT = 2;

    /** The change conflicts with another change that was made first. */
    public static final int CONFLICT = 3;

    /** The platform or a process could not be reached in time, so the result is unknown. */
    public static final int UNAVAILABLE = 4;

    private ExitCodes() {}
}
