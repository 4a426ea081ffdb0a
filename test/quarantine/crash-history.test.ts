/** Verdicts on requests that ran at crashes: whom a proof reaches, and whom it must not. */
import {test} from 'node:test';
import {expect} from 'earl';
import {createRandom} from '../../src/load/random.js';
import {
	clearSuspicion,
	crashVerdicts,
	createCrashHistory,
	findCrashVerdict,
	recordCrash,
	recordProof,
} from '../../src/quarantine/index.js';

const {sound, suspect, proven} = crashVerdicts;
const limits = {entries: 3, crashesOfSuspect: 2, provenMilliseconds: 1000};

test('two crashes make a suspect, a third while it runs alone is the proof; one crash told twice counts once', () => {
	const history = createCrashHistory(limits);
	const verdicts = ['one', 'one', 'two'].map(id => {
		recordCrash(history, 'digest', {id, isAlone: true}, 0);
		return findCrashVerdict(history, 'digest', 0);
	});
	expect(verdicts).toEqual([sound, sound, suspect]);
	expect(recordCrash(history, 'digest', {id: 'three', isAlone: false}, 0)).toEqual(false);
	expect(recordCrash(history, 'digest', {id: 'four', isAlone: true}, 0)).toEqual(true);
	expect(findCrashVerdict(history, 'digest', 999)).toEqual(proven);
});

test('after its time a proven request runs alone again; an answer then clears it, a crash proves it', () => {
	const history = createCrashHistory(limits);
	recordProof(history, 'digest', 0);
	clearSuspicion(history, 'digest', 10);
	expect(findCrashVerdict(history, 'digest', 10)).toEqual(proven);
	expect(findCrashVerdict(history, 'digest', 1000)).toEqual(suspect);
	expect(recordCrash(history, 'digest', {id: 'late', isAlone: true}, 1000)).toEqual(true);
	clearSuspicion(history, 'digest', 2000);
	expect(findCrashVerdict(history, 'digest', 2000)).toEqual(sound);
});

test('a full history gives up unproven entries first', () => {
	const history = createCrashHistory(limits);
	recordProof(history, 'proven', 0);
	for (const digest of ['a', 'b', 'c']) {
		recordCrash(history, digest, {id: 'one', isAlone: false}, 0);
	}

	expect([...history.entries.keys()]).toEqual(['proven', 'b', 'c']);
});

test('sound requests whose servers crash by themselves, one in a hundred runs and half of them at once, are never refused', () => {
	const random = createRandom(20_261_205);
	const history = createCrashHistory();
	const digests = ['popular', 'sometimes', 'seldom'];
	let crashes = 0;
	const crash = (digest: string, now: number, isAlone: boolean): void => {
		crashes += 1;
		recordCrash(history, digest, {id: String(crashes), isAlone}, now);
	};

	for (let now = 0; now < 20_000; now += 1) {
		const digest = digests[Math.min(2, Math.floor(random() ** 3 * 4))]!;
		if (random() < 0.01) {
			crash(digest, now, findCrashVerdict(history, digest, now) === suspect);
		} else {
			clearSuspicion(history, digest, now);
		}

		if (now % 1000 === 0) {
			for (const other of [...digests, ...digests, ...digests]) {
				crash(other, now, false);
			}
		}

		expect(findCrashVerdict(history, digest, now) === proven).toEqual(false);
	}

	expect(crashes).toBeGreaterThan(300);
});
