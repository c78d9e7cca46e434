package org.anvilbarrow.kernel.workspaces

import java.time.Duration

/** Result of checking the API key of a call. */
public sealed interface AccessDecision {
    /** The call may go on, for [workspace] or, without one, on a queue that needs no key. */
    public data class Granted(
        val workspace: String?,
    ) : AccessDecision

    /** The key identifies no workspace. */
    public data class Denied(
        val reason: String,
    ) : AccessDecision

    /** The configuration is too old to tell whether the key is valid. */
    public data class Unconfirmed(
        val reason: String,
    ) : AccessDecision
}

/** Ages of a configuration up to which it decides on keys; the age counts from the start of the read that showed it. */
public data class AccessBounds(
    /** Above this age, a key may have been withdrawn for longer than callers of the workspace were promised. */
    val maxAge: Duration,
    /** Above this age, an unknown key may belong to a newer version that should be in force by now. */
    val maxAgeToDeny: Duration,
) {
    public companion object {
        /** Covers a clock that is 2% slow, and the time between the check of a request and its arrival. */
        private val MARGIN: Duration = Duration.ofMillis(300)

        /** Returns the bounds for withdrawals and versions that have to be in force after the given times. */
        public fun of(
            keyWithdrawal: Duration,
            configApply: Duration,
        ): AccessBounds =
            AccessBounds(
                keyWithdrawal.minus(MARGIN).coerceAtLeast(Duration.ZERO),
                minOf(configApply, keyWithdrawal).minus(MARGIN).coerceAtLeast(Duration.ZERO),
            )
    }
}

/**
 * Checks API keys against one version of the configuration.
 *
 * A request that arrives while the configuration has an age below [AccessBounds.maxAge] was sent earlier still. A key
 * that it was granted on had not been withdrawn for longer than the bound when the caller used it.
 */
public class CallerAccess(
    private val bounds: AccessBounds,
) {
    /** Decides on a call with [key], or null if it names none, by a configuration of age [age]. */
    public fun decide(
        directory: WorkspaceDirectory?,
        isPublicQueue: Boolean,
        key: ApiKeyDigest?,
        age: Duration,
    ): AccessDecision {
        if (directory == null || isPublicQueue) return AccessDecision.Granted(null)
        if (age > bounds.maxAge) return unconfirmed(age, bounds.maxAge)
        if (key == null) return AccessDecision.Denied("the call names no API key")
        val owner = directory.ownerOf(key)
        return when {
            owner != null -> AccessDecision.Granted(owner.name)
            age > bounds.maxAgeToDeny -> unconfirmed(age, bounds.maxAgeToDeny)
            else -> AccessDecision.Denied("the API key belongs to no workspace")
        }
    }

    private fun unconfirmed(
        age: Duration,
        bound: Duration,
    ) = AccessDecision.Unconfirmed("the configuration was confirmed ${age.toMillis()} ms ago, allowed: $bound")
}
