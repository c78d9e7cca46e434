package org.anvilbarrow.adapters.settings

import java.time.Duration

/** Every key of the settings file; the check, `anvilbarrow settings` and `docs/settings.md` use this table. */
public object SettingKeys {
    internal const val PEER_SECTION: String = "peer"

    internal val id =
        SettingKey("scheduler", "id", "", null, NAME_RULE, "Name of this scheduler; the same after a restart.", ::name)
    internal val region =
        SettingKey("scheduler", "region", "", null, NAME_RULE, "Region of the VM that this process runs on.", ::name)
    internal val failureDomain =
        SettingKey("scheduler", "failure-domain", "", null, NAME_RULE, "Failure domain of that VM.", ::name)
    internal val stopGrace =
        seconds(
            "scheduler",
            "stop-grace",
            600,
            1..86_400,
            "Longest time that a planned stop waits for requests in flight.",
        )

    internal val callerAddress =
        SettingKey("caller", "address", "", null, ADDRESS_RULE, "Where callers and probes connect.", ::address)
    internal val maxBody =
        number("caller", "max-body", "KiB", 16_384, 1..1_048_576, "Longest accepted request body.")
    internal val maxExchanges =
        number("caller", "max-requests", "requests", 200, 1..2_000, "Requests open at one time; each uses two threads.")
    internal val idleTimeout =
        seconds("caller", "idle-timeout", 30, 1..3_600, "A connection without traffic for this time is closed.")

    internal val peerAddress =
        SettingKey("peers", "address", "", null, ADDRESS_RULE, "Where peers connect.", ::address)
    internal val otherAddress =
        SettingKey(
            "$PEER_SECTION ID",
            "address",
            "",
            null,
            ADDRESS_RULE,
            "Where the peer with this id listens.",
            ::address,
        )
    internal val otherRegion =
        SettingKey("$PEER_SECTION ID", "region", "", null, NAME_RULE, "Region of that peer.", ::name)

    internal val logUrl = SettingKey("log", "url", "", null, URL_RULE, "Base URL of the platform's log.", ::url)
    internal val logPoll =
        millis("log", "poll", 1_000, 50..2_000, "Pause between two reads at the end of the log.")
    internal val vmListUrl =
        SettingKey("vm-list", "url", "", null, URL_RULE, "Base URL of the platform's VM list.", ::url)
    internal val vmListPoll =
        millis("vm-list", "poll", 1_000, 100..2_000, "Pause between two reads of the VM list.")
    internal val logFormat =
        SettingKey("logging", "format", "", "text", "text or json", "How log lines are written.", ::format)

    internal val spans =
        SettingKey(
            "logging",
            "spans",
            "",
            "sampled",
            SPAN_RULE,
            "Which spans are logged; sampled follows traceparent.",
            ::spans,
        )

    /** All keys in the order in which they are documented. */
    public val all: List<SettingKey<*>> =
        listOf(
            id,
            region,
            failureDomain,
            stopGrace,
            callerAddress,
            maxBody,
            maxExchanges,
            idleTimeout,
            peerAddress,
            otherAddress,
            otherRegion,
            logUrl,
            logPoll,
            vmListUrl,
            vmListPoll,
            logFormat,
            spans,
        )

    /** Returns the table as Markdown. */
    public fun markdown(): String =
        all.joinToString("\n", prefix = HEADER, postfix = "\n") { key ->
            val default = key.default ?: "required"
            "| `[${key.section}]` | `${key.name}` | ${key.unit.ifEmpty {
                "-"
            }} | $default | ${key.allowed} | ${key.meaning} |"
        }

    private fun seconds(
        section: String,
        name: String,
        default: Int,
        range: IntRange,
        meaning: String,
    ) = SettingKey(section, name, "s", "$default", "${range.first} to ${range.last}", meaning) { text ->
        text.toLongOrNull()?.takeIf { it in range.first..range.last }?.let(Duration::ofSeconds)
    }

    private fun millis(
        section: String,
        name: String,
        default: Int,
        range: IntRange,
        meaning: String,
    ) = SettingKey(section, name, "ms", "$default", "${range.first} to ${range.last}", meaning) { text ->
        text.toLongOrNull()?.takeIf { it in range.first..range.last }?.let(Duration::ofMillis)
    }

    private const val HEADER =
        "| Section | Key | Unit | Default | Allowed | Meaning |\n| --- | --- | --- | --- | --- | --- |\n"
}
