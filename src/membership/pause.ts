/** What a process does that was paused: frozen, starved of processor time or swapped out. */
import {controlAddressOf} from './probe.js';
import {pickPeers} from './roster.js';
import {suspicionDeadline} from './suspicion.js';
import {type EventContext} from './state.js';
import {requestSync} from './sync.js';

/**
 * A process that was paused has heard nothing meanwhile: its silence is no proof against its
 * peers. Open probes are dropped, suspicions start anew, and peers are asked what they hold,
 * so that this node learns of its own death and refutes it.
 *
 * @param step the event being decided
 */
export function detectPause(step: EventContext): void {
	const {state, now, random} = step;
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
		suspicion.deadline = suspicionDeadline(step);
	}

	for (const peer of pickPeers(state.roster, state.parameters.gossipFanout, random)) {
		requestSync(step, controlAddressOf(peer), false);
	}
}
