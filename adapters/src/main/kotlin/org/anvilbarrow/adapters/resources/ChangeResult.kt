package org.anvilbarrow.adapters.resources

import org.anvilbarrow.kernel.catalog.SpecError
import java.time.Duration

/** Result of a change that an operator asked for. */
public sealed interface ChangeResult {
    /** The change was read back from the log and is in force from [version] on. */
    public data class Accepted(
        val version: Long,
    ) : ChangeResult

    /** The object has another version than the change expected; null if it does not exist. */
    public data class Conflict(
        val currentVersion: Long?,
    ) : ChangeResult

    /** There is no such object. */
    public data object NotFound : ChangeResult

    /** The change breaks [errors] and was not written. */
    public data class Invalid(
        val errors: List<SpecError>,
    ) : ChangeResult

    /** The change may take effect later; ask again with the same change id. */
    public data class Unknown(
        val changeId: String,
        val detail: String,
    ) : ChangeResult

    /** The change was not written and can be asked for again after [retryAfter]. */
    public data class Refused(
        val retryAfter: Duration,
        val detail: String,
    ) : ChangeResult
}
