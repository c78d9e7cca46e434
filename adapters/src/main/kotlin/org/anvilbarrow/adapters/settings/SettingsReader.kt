package org.anvilbarrow.adapters.settings

import org.anvilbarrow.adapters.http.CallerLimits
import org.anvilbarrow.adapters.peer.PeerAddress
import org.anvilbarrow.protocol.model.SchedulerId

/** Reads the settings file [file] with the content [text] and reports every fault at once. */
public class SettingsReader(
    file: String,
    text: String,
) {
    private val ini = CheckedIni(file, text, SettingKeys.all)

    /** Returns the settings or everything that is wrong with them. */
    public fun read(): SettingsResult<SchedulerSettings> {
        val settings = build()
        return if (ini.faults.isEmpty() && settings != null) {
            SettingsResult.Valid(settings)
        } else {
            SettingsResult.Invalid(ini.faults)
        }
    }

    private fun build(): SchedulerSettings? {
        val id = ini.value(SettingKeys.id)
        val region = ini.value(SettingKeys.region)
        val domain = ini.value(SettingKeys.failureDomain)
        val caller = ini.value(SettingKeys.callerAddress)
        val peer = ini.value(SettingKeys.peerAddress)
        val logUrl = ini.value(SettingKeys.logUrl)
        val vmListUrl = ini.value(SettingKeys.vmListUrl)
        val callerLimits = callerLimits()
        val process = processLimits()
        val format = ini.value(SettingKeys.logFormat)
        val spans = ini.value(SettingKeys.spans)
        val peers = peers(id)
        if (ini.faults.isNotEmpty()) return null
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

    private fun callerLimits(): CallerLimits {
        val defaults = CallerLimits()
        return defaults.copy(
            maxBodyBytes = ini.value(SettingKeys.maxBody)?.let { it * BYTES_PER_KIBIBYTE } ?: defaults.maxBodyBytes,
            maxExchanges = ini.value(SettingKeys.maxExchanges) ?: defaults.maxExchanges,
            idleTimeout = ini.value(SettingKeys.idleTimeout) ?: defaults.idleTimeout,
        )
    }

    private fun processLimits(): ProcessLimits {
        val defaults = ProcessLimits()
        return defaults.copy(
            logPoll = ini.value(SettingKeys.logPoll) ?: defaults.logPoll,
            vmListPoll = ini.value(SettingKeys.vmListPoll) ?: defaults.vmListPoll,
            stopGrace = ini.value(SettingKeys.stopGrace) ?: defaults.stopGrace,
        )
    }

    private fun peers(self: String?): List<PeerAddress> =
        ini.sections.filterKeys { it.startsWith(PEER_PREFIX) }.mapNotNull { (section, line) ->
            val id = section.removePrefix(PEER_PREFIX)
            if (name(id) == null) ini.fault(line, "[$section]", id, "[$PEER_PREFIX<id>] with an id of $NAME_RULE")
            if (id == self) ini.fault(line, "[$section]", id, "ids of other schedulers only")
            val address = ini.value(SettingKeys.otherAddress, section)
            val region = ini.value(SettingKeys.otherRegion, section)
            if (address == null ||
                region == null
            ) {
                null
            } else {
                PeerAddress(SchedulerId(id), address.host, address.port, region)
            }
        }

    private companion object {
        const val PEER_PREFIX = "${SettingKeys.PEER_SECTION} "
        const val BYTES_PER_KIBIBYTE = 1_024L
    }
}

/** Returns [value], whose absence would have been reported as a fault. */
internal fun <T : Any> known(value: T?): T = checkNotNull(value) { "a missing value was not reported" }
