/** Recovery of a process that was paused: frozen, starved of CPU time or swapped out. */
import {controlAddressOf} from './probe.js';
import {pickPeers} from './roster.js';
import {suspicionDeadline} from './suspicion.js';
import {type EventContext} from './state.js';
import {requestSync} from './sync.js';

/**
 * Detects a pause by the gap since the last event. A paused process received nothing meanwhile,
 * which proves nothing about its peers: pending probes are dropped and suspicions restart. It
 * also requests a sync, to learn whether it was declared dead and refute that.
 *
 * @param context context of the event
 */
export function detectPause(context: EventContext): void {
	const {state, now, random} = context;
	const gap = now - state.lastEventAt;
	state.lastEventAt = now;
	if (gap < state.parameters.pauseThresholdMilliseconds) {
		return;
	}

	state.counters.pauses += 1;
	state.probe = undefined;
	state.relayedProbes.clear();
	state.nextProbeAt = now + state.parameters.probeIntervalMilliseconds;
	state.localHealth = Math.min(
		state.parameters.maximumLocalHealth,
		state.localHealth + 1,
	);
	for (const suspicion of state.suspicions.values()) {
		suspicion.deadline = suspicionDeadline(context);
	}

	for (const peer of pickPeers(state.roster, state.parameters.gossipFanout, random)) {
		requestSync(context, controlAddressOf(peer), false);
	}
}
