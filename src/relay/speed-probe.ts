/**
 * Asks the local server for its speed through its health path, within a limit on probes per second.
 * Concurrent calls share one probe.
 */
import {createRateLimiter, tryAcquire} from '../measuring/index.js';
import {assumeBaselineSpeed, recordSlowdown, type ServerSpeed} from '../waiting/index.js';
import type {ServerHealth} from './platform-protocol.js';

export type SpeedProbeOptions = {
	/** Requests the health path; undefined on a timeout. */
	readonly probe: (path: string) => Promise<ServerHealth | undefined>;
	/** Undefined while no routes are known. */
	readonly healthPath: () => string | undefined;
	readonly probesPerSecond: number;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	/** The known speed of the server, changed in place. */
	readonly serverSpeed: () => ServerSpeed;
	readonly onHealth: (health: ServerHealth) => void;
	readonly onTimeout: () => void;
};

export type SpeedProbe = {
	/** Resolves once the speed is known or the baseline speed is assumed. */
	readonly refresh: () => Promise<void>;
};

/**
 * Creates the probe; it asks only on `refresh`.
 *
 * @param options the server, the limit and the clock
 * @returns the probe
 */
export function createSpeedProbe(options: SpeedProbeOptions): SpeedProbe {
	const {now, serverSpeed} = options;
	const limiter = createRateLimiter(options.probesPerSecond);
	let pending: Promise<void> | undefined;

	async function probeSpeed(): Promise<void> {
		const path = options.healthPath();
		if (path === undefined || !tryAcquire(limiter, 1, now())) {
			assumeBaselineSpeed(serverSpeed(), now());
			return;
		}

		const health = await options.probe(path);
		if (health === undefined) {
			assumeBaselineSpeed(serverSpeed(), now());
			options.onTimeout();
			return;
		}

		if (health.serverId === undefined && health.slowdown === undefined) {
			assumeBaselineSpeed(serverSpeed(), now());
			return;
		}

		recordSlowdown(serverSpeed(), health.slowdown, now());
		options.onHealth(health);
	}

	return {
		async refresh() {
			pending ??= probeSpeed().finally(() => {
				pending = undefined;
			});
			await pending;
		},
	};
}
