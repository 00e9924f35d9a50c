package org.kingcuproad.model;

/**
 * A customer under the shared account, with its credential and its share.
 *
 * @param name unique name of the workspace
 * @param credentialSha256 SHA-256 of the bearer credential, in lower-case hexadecimal
 * @param weight share of the capacity relative to other workspaces
 * @param maxInFlight requests of the workspace that one entry runs at the same time
 */
public record Workspace(String name, String credentialSha256, int weight, int maxInFlight) {}
