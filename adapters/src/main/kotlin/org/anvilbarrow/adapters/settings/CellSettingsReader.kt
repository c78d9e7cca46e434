package org.anvilbarrow.adapters.settings

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toPersistentMap
import org.anvilbarrow.kernel.jobs.CellLimits
import org.anvilbarrow.kernel.workspaces.AccessBounds
import java.time.Duration

/** Every key of the settings file of a process that serves durable jobs. */
public object CellSettingKeys {
    internal val vm = SettingKey("vm", "name", "", null, NAME_RULE, "Name of the VM.", ::name)
    internal val region = SettingKey("vm", "region", "", null, NAME_RULE, "Region of the VM.", ::name)
    internal val failureDomain =
        SettingKey("vm", "failure-domain", "", null, NAME_RULE, "Failure domain of the VM.", ::name)
    internal val stopGrace =
        seconds("vm", "stop-grace", "6", "Time between SIGTERM and SIGKILL.", MAX_GRACE_SECONDS)
    internal val coreShare =
        decimal("vm", "core-share", "1", "Share of a core that the process may use.")
    internal val coreSpeed =
        decimal("vm", "core-speed", "1", "Speed of that core, as a multiple of the usual one.")
    internal val regions =
        SettingKey(
            "cell",
            "regions",
            "",
            "",
            "failure-domain:region, separated by commas",
            "Region of each failure domain.",
            ::pairs,
        )
    internal val callers = listen("callers", "Where callers connect.")
    internal val probes = listen("probes", "Where readiness probes connect.")
    internal val operators = listen("operators", "Where operators read metrics.")
    internal val peers = listen("peers", "Where the other processes of the cell connect.")
    internal val store =
        SettingKey("store", "address", "", null, ADDRESS_RULE, "The platform's store.", ::hostAndPort)
    internal val advice =
        SettingKey(
            "advice",
            "address",
            "",
            "none",
            "$ADDRESS_RULE, or none",
            "The advice service.",
        ) { text -> if (text == "none" || text.isEmpty()) "none" else hostAndPort(text) }
    internal val shards =
        number("cell", "shards", "shards", 1, 1..MAX_SHARDS, "Parts of the cell with an owner each.")
    internal val maxLease =
        millis("cell", "max-lease", "10000", "Longest lease that upstreams accept.")
    internal val retention =
        seconds("cell", "retention", "120", "How long finished jobs can be asked for.", MAX_RETENTION_SECONDS)
    internal val keyWithdrawal =
        millis("cell", "key-withdrawal", "5000", "Time after which a withdrawn API key must not be accepted.")
    internal val configApply =
        millis("cell", "config-apply", "4000", "Time after which a configuration must be in force.")
    internal val learnRunTimes =
        SettingKey(
            "cell",
            "learn-run-times",
            "",
            "true",
            "true or false",
            "Whether run times and speeds are learned from finished runs.",
        ) { text -> text.toBooleanStrictOrNull() }
    internal val logLines =
        number("logging", "lines-per-second", "lines", 20, 1..MAX_LINES, "Lines of each kind of decision.")

    /** All keys in the order in which they are documented. */
    public val all: List<SettingKey<*>> =
        listOf(
            vm,
            region,
            failureDomain,
            stopGrace,
            coreShare,
            coreSpeed,
            callers,
            probes,
            operators,
            peers,
            store,
            advice,
            shards,
            regions,
            maxLease,
            retention,
            keyWithdrawal,
            configApply,
            learnRunTimes,
            logLines,
        )

    private const val MAX_GRACE_SECONDS = 86_400L
    private const val MAX_RETENTION_SECONDS = 604_800L
    private const val MAX_SHARDS = 16
    private const val MAX_LINES = 10_000
    private const val MILLIS_PER_SECOND = 1_000

    private fun listen(
        name: String,
        meaning: String,
    ) = SettingKey("listen", name, "", null, ADDRESS_RULE, meaning, ::address)

    private fun pairs(text: String): ImmutableMap<String, String>? {
        val pairs = text.split(',').filter { it.isNotBlank() }.map { it.trim().split(':') }
        if (pairs.any { it.size != 2 || it.any(String::isBlank) }) return null
        return pairs.associate { (domain, region) -> domain to region }.toPersistentMap()
    }

    private fun decimal(
        section: String,
        name: String,
        default: String,
        meaning: String,
    ) = SettingKey(section, name, "", default, "above 0", meaning) { text ->
        text.toDoubleOrNull()?.takeIf { it > 0 && it.isFinite() }
    }

    private fun hostAndPort(text: String): String? = address(text)?.let { "${it.host}:${it.port}" }

    private fun seconds(
        section: String,
        name: String,
        default: String,
        meaning: String,
        most: Long,
    ) = SettingKey(section, name, "s", default, "1 to $most", meaning) { text ->
        text
            .toDoubleOrNull()
            ?.takeIf { it >= 1 && it <= most }
            ?.let { Duration.ofMillis((it * MILLIS_PER_SECOND).toLong()) }
    }

    private fun millis(
        section: String,
        name: String,
        default: String,
        meaning: String,
    ) = SettingKey(section, name, "ms", default, "1 and more", meaning) { text ->
        text.toDoubleOrNull()?.takeIf { it >= 1 }?.let { Duration.ofMillis(it.toLong()) }
    }
}

/** Reads the settings of a process that serves durable jobs and reports every fault at once. */
public class CellSettingsReader(
    file: String,
    text: String,
) {
    private val ini = CheckedIni(file, text, CellSettingKeys.all)

    /** Returns the settings or everything that is wrong with them. */
    public fun read(): SettingsResult<CellSettings> {
        val settings = build()
        return if (settings == null) SettingsResult.Invalid(ini.faults) else SettingsResult.Valid(settings)
    }

    private fun build(): CellSettings? {
        val keys = CellSettingKeys
        keys.all.forEach { ini.value(it) }
        if (ini.faults.isNotEmpty()) return null
        val limits = CellLimits()
        return CellSettings(
            vm = known(ini.value(keys.vm)),
            region = known(ini.value(keys.region)),
            failureDomain = known(ini.value(keys.failureDomain)),
            callers = known(ini.value(keys.callers)),
            probes = known(ini.value(keys.probes)),
            operators = known(ini.value(keys.operators)),
            peers = known(ini.value(keys.peers)),
            store = known(ini.value(keys.store)),
            advice = known(ini.value(keys.advice)).takeIf { it != "none" },
            shards = known(ini.value(keys.shards)),
            stopGrace = known(ini.value(keys.stopGrace)),
            cores = known(ini.value(keys.coreShare)) * known(ini.value(keys.coreSpeed)),
            regions = known(ini.value(keys.regions)),
            limits =
                limits.copy(
                    lease = minOf(limits.lease, known(ini.value(keys.maxLease))),
                    maxLease = known(ini.value(keys.maxLease)),
                    retention = known(ini.value(keys.retention)),
                    shards = known(ini.value(keys.shards)),
                    learnsRunTimes = known(ini.value(keys.learnRunTimes)),
                ),
            accessBounds =
                AccessBounds.of(known(ini.value(keys.keyWithdrawal)), known(ini.value(keys.configApply))),
            logLinesPerSecond = known(ini.value(keys.logLines)),
        )
    }
}
