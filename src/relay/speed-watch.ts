/**
 * Asks the server beside the node for its speed by its health path, within a budget of questions.
 * Whoever needs the speed at the same time shares one question.
 */
import {createSpendingWindow, trySpendAmount} from '../measuring/index.js';
import {assumeUsualSpeed, reportSlowdown, type Pace} from '../waiting/index.js';
import type {ServerHealth} from './dialect.js';

export type SpeedWatchOptions = {
	/** Asks the health path; undefined when it does not answer in time. */
	readonly probe: (path: string) => Promise<ServerHealth | undefined>;
	/** Undefined while no routes are known. */
	readonly healthPath: () => string | undefined;
	readonly questionsPerSecond: number;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
	/** What is known of the server's speed now; it is changed in place. */
	readonly pace: () => Pace;
	/** The server answered. */
	readonly onHealth: (health: ServerHealth) => void;
	/** The server did not answer in time. */
	readonly onSilence: () => void;
};

export type SpeedWatch = {
	/** Resolves once the speed is known or has to be assumed. */
	readonly refresh: () => Promise<void>;
};

/**
 * Creates the watch, which has asked nothing yet.
 *
 * @param options the server, the budget and the clock
 * @returns the watch
 */
export function createSpeedWatch(options: SpeedWatchOptions): SpeedWatch {
	const {now, pace} = options;
	const questions = createSpendingWindow(options.questionsPerSecond);
	let asking: Promise<void> | undefined;

	async function ask(): Promise<void> {
		const path = options.healthPath();
		if (path === undefined || !trySpendAmount(questions, 1, now())) {
			assumeUsualSpeed(pace(), now());
			return;
		}

		const health = await options.probe(path);
		if (health === undefined) {
			assumeUsualSpeed(pace(), now());
			options.onSilence();
			return;
		}

		if (health.serverId === undefined && health.slowdown === undefined) {
			assumeUsualSpeed(pace(), now());
			return;
		}

		reportSlowdown(pace(), health.slowdown, now());
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
