/** Large bodies on a narrow link: the delay of small requests that share it stays bounded. */
import {test} from 'node:test';
import {expect} from 'earl';
import {createRandom} from '../../src/load/random.js';
import {
	createInboundLink,
	estimateTransferTime,
	hasRoomFor,
	trackBody,
	type InboundLink,
} from '../../src/waiting/index.js';

const megabitsPerSecond = 10;
const uploadBytes = 60_000;
/** Two and a half times the bandwidth of the link. */
const uploadsPerSecond = 50;
const seconds = 6;
const smallRequestMilliseconds = 20;

type Body = {remaining: number; readonly stopTracking: () => void};

/**
 * Simulates a burst of uploads and a steady stream of small requests over one link, first in
 * first out, in steps of a millisecond.
 */
function simulateBurst(accepts: (link: InboundLink) => boolean) {
	const random = createRandom(3);
	const link = createInboundLink(megabitsPerSecond);
	const bodies: Body[] = [];
	const delays: number[] = [];
	let accepted = 0;
	for (let now = 0; now < seconds * 1000; now += 1) {
		if (random() < uploadsPerSecond / 1000 && accepts(link)) {
			bodies.push({remaining: uploadBytes, stopTracking: trackBody(link, uploadBytes)});
			accepted += 1;
		}

		if (now % smallRequestMilliseconds === 0) {
			const ahead = bodies.reduce((sum, {remaining}) => sum + remaining, 0);
			delays.push(ahead / link.bytesPerMillisecond);
		}

		let budget = link.bytesPerMillisecond;
		while (budget > 0 && bodies.length > 0) {
			const sent = Math.min(budget, bodies[0]!.remaining);
			bodies[0]!.remaining -= sent;
			budget -= sent;
			if (bodies[0]!.remaining <= 0) {
				bodies.shift()!.stopTracking();
			}
		}
	}

	const sorted = delays.toSorted((left, right) => left - right);
	return {accepted, delay: sorted[Math.floor(sorted.length * 0.99)]!};
}

test('during a burst of uploads small requests wait no longer than the backlog bound and two bodies', () => {
	const bodyMilliseconds = (uploadBytes * 8) / (megabitsPerSecond * 1000);
	const bounded = simulateBurst(link => hasRoomFor(link, uploadBytes));
	expect(bounded.delay).toBeLessThanOrEqual(100 + 2 * bodyMilliseconds);
	// The link is still almost fully used.
	expect(bounded.accepted * bodyMilliseconds).toBeGreaterThan(seconds * 1000 * 0.9);
	const unbounded = simulateBurst(() => true);
	expect(unbounded.delay).toBeGreaterThan(1000);
});

test('a small body always has room, and a complete body no longer counts', () => {
	const link = createInboundLink(megabitsPerSecond);
	const stops = Array.from({length: 4}, () => trackBody(link, uploadBytes));
	expect(hasRoomFor(link, uploadBytes)).toEqual(false);
	expect(hasRoomFor(link, 4000)).toEqual(true);
	expect(estimateTransferTime(link, 4000)).toEqual(0);
	expect(estimateTransferTime(link, uploadBytes)).toEqual(240);
	for (const stop of stops) {
		stop();
		stop();
	}

	expect(link.pendingBytes).toEqual(0);
	expect(hasRoomFor(link, uploadBytes)).toEqual(true);
	expect(estimateTransferTime(link, uploadBytes)).toEqual(48);
});
