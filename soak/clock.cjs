/**
 * Loaded before a program of the soak: shifts its wall clock by a number of milliseconds from its
 * start, and makes the clock jump by another, to and fro, on SIGUSR2.
 */
'use strict';
const process = require('node:process');

const trueNow = Date.now;
const offset = Number(process.env.SOAK_CLOCK_OFFSET ?? 0);
const jump = Number(process.env.SOAK_CLOCK_JUMP ?? 0);
let shift = offset;
Date.now = () => trueNow() + shift;
process.on('SIGUSR2', () => {
	shift = shift === offset ? offset + jump : offset;
});
