/**
 * Preloaded into the node processes of the soak. Shifts the wall clock by SOAK_CLOCK_OFFSET
 * milliseconds, and on each SIGUSR2 adds or removes a jump of SOAK_CLOCK_JUMP milliseconds.
 */
'use strict';
const process = require('node:process');

const systemNow = Date.now;
const offset = Number(process.env.SOAK_CLOCK_OFFSET ?? 0);
const jump = Number(process.env.SOAK_CLOCK_JUMP ?? 0);
let shift = offset;
Date.now = () => systemNow() + shift;
process.on('SIGUSR2', () => {
	shift = shift === offset ? offset + jump : offset;
});
