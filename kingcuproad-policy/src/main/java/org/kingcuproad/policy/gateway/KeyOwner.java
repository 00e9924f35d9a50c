package org.kingcuproad.policy.gateway;

import java.util.OptionalInt;

/**
 * The workspace that owns an API key.
 *
 * @param workspace name of the workspace
 * @param priority priority of its requests, which overrides that of the route; empty if the workspace has none
 */
public record KeyOwner(String workspace, OptionalInt priority) {}
