package org.kingcuproad.model;

/** What an upstream serves. */
public enum UpstreamKind {

    /** A model engine that is part of a model group. */
    MODEL,

    /** A plain HTTP service. */
    SERVICE
}
