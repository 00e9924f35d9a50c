package org.kingcuproad.policy.gateway;

/** What is known of an upstream when it has been probed after a response had ended with its connection. */
public enum UpstreamLife {

    /** A process accepts connections at its address, and nothing says that it is another one. */
    LISTENING,

    /** The probe has no answer. */
    SILENT,

    /** It leaves, or its entry has been removed or names another start, so its end says nothing about a crash. */
    ENDS_AS_PLANNED,

    /** It has crashed since the request was sent, nobody listens at its address, or another upstream does. */
    ENDED,

    /** Another rank of its group has crashed. */
    RANK_CRASHED
}
