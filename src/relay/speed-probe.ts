/**
 * Asks the server beside the node for its speed by its health path, within a budget of questions.
 * Whoever needs the speed at the same time shares one question.
 */
import {createRateLimiter, tryAcquire} from '../measuring/index.js';
import {assumeBaselineSpeed, recordSlowdown, type ServerSpeed} from '../waiting/index.js';
import type {ServerHealth} from './platform-protocol.js';

export type SpeedProbeOptions = {
	/** Asks the health path; undefined when it does not answer in time. */
	readonly probe: (path: string) => Promise<ServerHealth | undefined>;
	/** Undefined while no routes are known. */
	readonly healthPath: () => string | undefined;
	readonly probesPerSecond: number;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	/** What is known of the server's speed now; it is changed in place. */
	readonly serverSpeed: () => ServerSpeed;
	/** The server answered. */
	readonly onHealth: (health: ServerHealth) => void;
	/** The server did not answer in time. */
	readonly onTimeout: () => void;
};

export type SpeedProbe = {
	/** Resolves once the speed is known or has to be assumed. */
	readonly refresh: () => Promise<void>;
};

/**
 * Creates the watch, which has asked nothing yet.
 *
 * @param options the server, the budget and the clock
 * @returns the watch
 */
export function createSpeedProbe(options: SpeedProbeOptions): SpeedProbe {
	const {now, serverSpeed: pace} = options;
	const questions = createRateLimiter(options.probesPerSecond);
	let asking: Promise<void> | undefined;

	async function ask(): Promise<void> {
		const path = options.healthPath();
		if (path === undefined || !tryAcquire(questions, 1, now())) {
			assumeBaselineSpeed(pace(), now());
			return;
		}

		const health = await options.probe(path);
		if (health === undefined) {
			assumeBaselineSpeed(pace(), now());
			options.onTimeout();
			return;
		}

		if (health.serverId === undefined && health.slowdown === undefined) {
			assumeBaselineSpeed(pace(), now());
			return;
		}

		recordSlowdown(pace(), health.slowdown, now());
		options.onHealth(health);
	}

	return {
		async refresh() {
			asking ??= ask().finally(() => {
				asking = undefined;
			});
			await asking;
		},
	};
}
