/** Large bodies on a narrow link: small requests that share it keep their latency. */
import {test} from 'node:test';
import {expect} from 'earl';
import {createRandom} from '../../src/load/random.js';
import {
	createInboundLink,
	estimateTransferTime,
	trackBody,
	hasRoomFor,
	type InboundLink,
} from '../../src/waiting/index.js';

const megabitsPerSecond = 10;
const uploadBytes = 60_000;
/** Two and a half times what the link carries. */
const uploadsPerSecond = 50;
const seconds = 6;
const smallRequestMilliseconds = 20;

type Body = {remaining: number; readonly end: () => void};

/**
 * Replays a burst of uploads and a steady stream of small requests over one link, first in first
 * out, in steps of a millisecond.
 */
function replayBurst(invites: (link: InboundLink) => boolean) {
	const random = createRandom(3);
	const link = createInboundLink(megabitsPerSecond);
	const bodies: Body[] = [];
	const delays: number[] = [];
	let taken = 0;
	for (let now = 0; now < seconds * 1000; now += 1) {
		if (random() < uploadsPerSecond / 1000 && invites(link)) {
			bodies.push({remaining: uploadBytes, end: trackBody(link, uploadBytes)});
			taken += 1;
		}

		if (now % smallRequestMilliseconds === 0) {
			const ahead = bodies.reduce((sum, {remaining}) => sum + remaining, 0);
			delays.push(ahead / link.bytesPerMillisecond);
		}

		let free = link.bytesPerMillisecond;
		while (free > 0 && bodies.length > 0) {
			const sent = Math.min(free, bodies[0]!.remaining);
			bodies[0]!.remaining -= sent;
			free -= sent;
			if (bodies[0]!.remaining <= 0) {
				bodies.shift()!.end();
			}
		}
	}

	const sorted = delays.toSorted((left, right) => left - right);
	return {taken, delay: sorted[Math.floor(sorted.length * 0.99)]!};
}

test('a burst of uploads keeps small requests waiting for no more than two bodies take', () => {
	const bodyMilliseconds = (uploadBytes * 8) / (megabitsPerSecond * 1000);
	const bounded = replayBurst(link => hasRoomFor(link, uploadBytes));
	expect(bounded.delay).toBeLessThanOrEqual(100 + 2 * bodyMilliseconds);
	// The link is used in full all the same.
	expect(bounded.taken * bodyMilliseconds).toBeGreaterThan(seconds * 1000 * 0.9);
	const unbounded = replayBurst(() => true);
	expect(unbounded.delay).toBeGreaterThan(1000);
});

test('a small body always has room, and a body that has ended frees its own', () => {
	const link = createInboundLink(megabitsPerSecond);
	const ends = Array.from({length: 4}, () => trackBody(link, uploadBytes));
	expect(hasRoomFor(link, uploadBytes)).toEqual(false);
	expect(hasRoomFor(link, 4000)).toEqual(true);
	expect(estimateTransferTime(link, 4000)).toEqual(0);
	expect(estimateTransferTime(link, uploadBytes)).toEqual(240);
	for (const end of ends) {
		end();
		end();
	}

	expect(link.pendingBytes).toEqual(0);
	expect(hasRoomFor(link, uploadBytes)).toEqual(true);
	expect(estimateTransferTime(link, uploadBytes)).toEqual(48);
});
