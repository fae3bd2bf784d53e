package org.quetzalseam.wire.message;

/** The types of messages and their numbers on the wire. The number of a type is never reused for another type. */
public enum MessageType {
    HELLO(1, Hello.class),
    CHALLENGE(2, Challenge.class),
    PROOF(3, Proof.class),
    WELCOME(4, Welcome.class),
    REJECTED(5, Rejected.class),
    HEARTBEAT(10, Heartbeat.class),
    HEARTBEAT_ACK(11, HeartbeatAck.class),
    LEAVING(12, Leaving.class),
    FETCH_STATE(13, FetchState.class),
    SITE_STATE(14, SiteState.class),
    LEAVING_HEARD(15, LeavingHeard.class),
    BOOK(20, Book.class),
    PREFILL(21, Prefill.class),
    DECODE(22, Decode.class),
    CALL(23, Call.class),
    CANCEL(24, Cancel.class),
    SEAL(25, Seal.class),
    RESUME(26, Resume.class),
    FENCE_KEY(27, FenceKey.class),
    BOOKED(40, Booked.class),
    REFUSED(41, Refused.class),
    PREFILLED(42, Prefilled.class),
    OUTPUTS(43, Outputs.class),
    FINISHED(44, Finished.class),
    FAILED(45, Failed.class),
    ANSWER(46, Answer.class),
    SEAL_ANSWER(47, SealAnswer.class),
    KEY_FENCED(48, KeyFenced.class);

    private final int number;
    private final Class<? extends Message> type;

    MessageType(int number, Class<? extends Message> type) {
        this.number = number;
        this.type = type;
    }

    /** Returns the number on the wire. */
    public int number() {
        return number;
    }

    /** Returns the record class of the message. */
    public Class<? extends Message> type() {
        return type;
    }
}
