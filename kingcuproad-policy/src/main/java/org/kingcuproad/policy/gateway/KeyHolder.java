package org.kingcuproad.policy.gateway;

import java.util.OptionalInt;

/**
 * The workspace that holds a key.
 *
 * @param workspace name of the workspace
 * @param priority rank of its requests, which goes before the rank of the route; empty if the workspace has none
 */
public record KeyHolder(String workspace, OptionalInt priority) {}
