package org.anvilbarrow.adapters.settings

import org.anvilbarrow.adapters.http.CallerLimits
import org.anvilbarrow.adapters.peer.PeerAddress
import org.anvilbarrow.protocol.model.SchedulerId

/** Reads the settings file [file] with the content [text] and reports every fault at once. */
public class SettingsReader(
    private val file: String,
    text: String,
) {
    private val ini = IniEntries(text)
    private val faults = mutableListOf<SettingFault>()

    /** Returns the settings or everything that is wrong with them. */
    public fun read(): SettingsResult {
        ini.brokenLine?.let { fault(it, "the line", "not readable", "[section], key = value, or ; comment") }
        rejectUnknown()
        rejectRepeated()
        val settings = build()
        return if (faults.isEmpty() && settings != null) {
            SettingsResult.Valid(settings)
        } else {
            SettingsResult.Invalid(faults.sortedBy { it.line })
        }
    }

    private fun build(): SchedulerSettings? {
        val id = value(SettingKeys.id)
        val region = value(SettingKeys.region)
        val domain = value(SettingKeys.failureDomain)
        val caller = value(SettingKeys.callerAddress)
        val peer = value(SettingKeys.peerAddress)
        val logUrl = value(SettingKeys.logUrl)
        val vmListUrl = value(SettingKeys.vmListUrl)
        val callerLimits = callerLimits()
        val process = processLimits()
        val format = value(SettingKeys.logFormat)
        val spans = value(SettingKeys.spans)
        val peers = peers(id)
        if (faults.isNotEmpty()) return null
        return SchedulerSettings(
            id = SchedulerId(known(id)),
            region = known(region),
            failureDomain = known(domain),
            caller = known(caller),
            peer = known(peer),
            peers = peers,
            logUrl = known(logUrl),
            vmListUrl = known(vmListUrl),
            callerLimits = callerLimits,
            process = process,
            logFormat = known(format),
            spans = known(spans),
        )
    }

    private fun <T : Any> known(value: T?): T = checkNotNull(value) { "a missing value was not reported" }

    private fun callerLimits(): CallerLimits {
        val defaults = CallerLimits()
        return defaults.copy(
            maxBodyBytes = value(SettingKeys.maxBody)?.let { it * BYTES_PER_KIBIBYTE } ?: defaults.maxBodyBytes,
            maxExchanges = value(SettingKeys.maxExchanges) ?: defaults.maxExchanges,
            idleTimeout = value(SettingKeys.idleTimeout) ?: defaults.idleTimeout,
        )
    }

    private fun processLimits(): ProcessLimits {
        val defaults = ProcessLimits()
        return defaults.copy(
            logPoll = value(SettingKeys.logPoll) ?: defaults.logPoll,
            vmListPoll = value(SettingKeys.vmListPoll) ?: defaults.vmListPoll,
            stopGrace = value(SettingKeys.stopGrace) ?: defaults.stopGrace,
        )
    }

    private fun peers(self: String?): List<PeerAddress> =
        ini.sections.filterKeys { it.startsWith(PEER_PREFIX) }.mapNotNull { (section, line) ->
            val id = section.removePrefix(PEER_PREFIX)
            if (name(id) == null) fault(line, "[$section]", id, "[$PEER_PREFIX<id>] with an id of $NAME_RULE")
            if (id == self) fault(line, "[$section]", id, "ids of other schedulers only")
            val address = value(SettingKeys.otherAddress, section)
            val region = value(SettingKeys.otherRegion, section)
            if (address == null ||
                region == null
            ) {
                null
            } else {
                PeerAddress(SchedulerId(id), address.host, address.port, region)
            }
        }

    private fun <T : Any> value(
        key: SettingKey<T>,
        section: String = key.section,
    ): T? {
        val entry = ini.entries.firstOrNull { it.section == section && it.key == key.name }
        val text = if (entry == null) key.default else entry.value.orEmpty()
        val parsed = text?.let(key.read)
        if (parsed == null) {
            fault(entry?.line ?: missingLine(section), "[$section] ${key.name}", text, key.allowed)
        }
        return parsed
    }

    private fun missingLine(section: String): Int = ini.sections[section] ?: ini.lines.line

    private fun rejectUnknown() {
        ini.entries.forEach { entry ->
            val known = SettingKeys.all.filter { it.covers(entry.section) }
            if (known.isEmpty()) {
                fault(entry.line, "[${entry.section}] ${entry.key}", entry.value, "sections $SECTIONS")
            } else if (known.none { it.name == entry.key }) {
                val names = known.joinToString { it.name }
                fault(entry.line, "[${entry.section}] ${entry.key}", entry.value, "keys $names")
            }
        }
    }

    private fun rejectRepeated() {
        ini.entries
            .groupBy { it.section to it.key }
            .values
            .flatMap { it.drop(1) }
            .forEach { fault(it.line, "[${it.section}] ${it.key}", it.value, "the key only once") }
    }

    private fun SettingKey<*>.covers(name: String): Boolean =
        name == section || (section.startsWith(PEER_PREFIX) && name.startsWith(PEER_PREFIX))

    private fun fault(
        line: Int,
        key: String,
        seen: String?,
        allowed: String,
    ) {
        faults += SettingFault(file, line, key, seen, allowed)
    }

    private companion object {
        const val PEER_PREFIX = "${SettingKeys.PEER_SECTION} "
        const val BYTES_PER_KIBIBYTE = 1_024L
        val SECTIONS =
            SettingKeys.all
                .map { "[${it.section}]" }
                .distinct()
                .joinToString()
    }
}
