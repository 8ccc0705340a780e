package maplerail.soak;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import maplerail.soak.EngineStandIn.Behaviour;
import maplerail.soak.ShimControl.Field;

/** What can go wrong in a run. Each one begins, lasts for some time and leaves things sound again. */
enum Trouble {
    RESTART {
        @Override
        void play(SoakFleet fleet, SplittableRandom random) throws Exception {
            withOneGateway(fleet, random, GatewayProcess::restart);
        }
    },
    CRASH {
        @Override
        void play(SoakFleet fleet, SplittableRandom random) throws Exception {
            withOneGateway(fleet, random, GatewayProcess::crashAndStart);
        }
    },
    NEW_CONFIGURATION {
        @Override
        void play(SoakFleet fleet, SplittableRandom random) throws Exception {
            withOneGateway(fleet, random, gateway -> gateway.moveDiscovery(0, 0));
        }
    },
    NEW_CONFIGURATION_UNREADABLE_AT_FIRST {
        @Override
        void play(SoakFleet fleet, SplittableRandom random) throws Exception {
            int forMs = 100 + random.nextInt(900);
            withOneGateway(fleet, random, gateway -> gateway.moveDiscovery(ShimControl.EIO, forMs));
        }
    },
    CLOCK_STEP_AND_RESTART {
        @Override
        void play(SoakFleet fleet, SplittableRandom random) throws Exception {
            long[] steps = {3_600_000, -3_600_000, 7_000, -7_000};
            long offsetMs = steps[random.nextInt(steps.length)];
            withOneGateway(fleet, random, gateway -> {
                gateway.shim.wallOffsetMs(offsetMs);
                gateway.restart();
            });
        }
    },
    SYSTEM_CALLS_FAIL {
        @Override
        void play(SoakFleet fleet, SplittableRandom random) throws Exception {
            Field[] fields = {Field.ACCEPT_ERRNO, Field.CONNECT_ERRNO, Field.SOCKET_ERRNO};
            int[][] errors = {{ShimControl.ECONNABORTED, ShimControl.ENFILE, ShimControl.EMFILE, ShimControl.ENOBUFS},
                    {ShimControl.EADDRNOTAVAIL, ShimControl.ENETUNREACH},
                    {ShimControl.ENFILE, ShimControl.EMFILE, ShimControl.ENOBUFS}};
            int which = random.nextInt(fields.length);
            int error = errors[which][random.nextInt(errors[which].length)];
            int forMs = 50 + random.nextInt(600);
            withOneGateway(fleet, random, gateway -> {
                gateway.shim.set(fields[which], error);
                TimeUnit.MILLISECONDS.sleep(forMs);
                gateway.shim.set(fields[which], 0);
            });
        }
    },
    SHORT_AND_BROKEN_READS {
        @Override
        void play(SoakFleet fleet, SplittableRandom random) throws Exception {
            int error = random.nextBoolean() ? ShimControl.ETIMEDOUT : ShimControl.EHOSTUNREACH;
            int permille = random.nextInt(3) * 5;
            int shortest = 1 + random.nextInt(200);
            withOneGateway(fleet, random, gateway -> {
                gateway.readFaults(permille == 0 ? 0 : error, permille, shortest);
                gateway.shim.set(Field.EINTR_PERMILLE, 100);
                TimeUnit.MILLISECONDS.sleep(3_000);
                gateway.readFaults(0, 0, 0);
                gateway.shim.clear();
            });
        }
    },
    GATEWAY_STALLS {
        @Override
        void play(SoakFleet fleet, SplittableRandom random) throws Exception {
            withOneGateway(fleet, random, gateway -> {
                for (int i = 0; i < 6; i++) {
                    gateway.stall(STALL_MS);
                    TimeUnit.MILLISECONDS.sleep(300);
                }
            });
        }
    },
    ENGINE_MISBEHAVES {
        @Override
        void play(SoakFleet fleet, SplittableRandom random) throws Exception {
            Behaviour[] bad = {Behaviour.HANGS, Behaviour.FAILS, Behaviour.RESETS, Behaviour.SLOW,
                    Behaviour.TURNS_AWAY};
            Behaviour how = bad[random.nextInt(bad.length)];
            int forMs = 2_000 + random.nextInt(4_000);
            fleet.withOneEngine(random, engine -> {
                engine.behave(how);
                TimeUnit.MILLISECONDS.sleep(forMs);
                engine.behave(Behaviour.SOUND);
            });
        }
    },
    WRITERS_STOP {
        @Override
        void play(SoakFleet fleet, SplittableRandom random) throws Exception {
            fleet.withRole(false, random, engine -> engine.behave(Behaviour.STOPPED),
                    engine -> engine.behave(Behaviour.SOUND), 800 + random.nextInt(2_400));
        }
    },
    ROLLING_RESTART {
        @Override
        void play(SoakFleet fleet, SplittableRandom random) throws Exception {
            fleet.withGatewaysInTurn(MOST_IN_TURN, GatewayProcess::reloadAndRestart);
        }
    },
    IDLE_CROWD {
        @Override
        void play(SoakFleet fleet, SplittableRandom random) throws Exception {
            int forMs = 1_000 + random.nextInt(2_000);
            boolean asks = random.nextBoolean();
            withOneGateway(fleet, random, gateway -> {
                List<Socket> crowd = new ArrayList<>();
                try {
                    for (int i = 0; i < CROWD; i++) crowd.add(new Socket("127.0.0.1", gateway.port));
                    // Those that ask look after their connections themselves.
                    List<Socket> asking = asks ? List.copyOf(crowd.subList(0, CROWD_ASKS)) : List.of();
                    crowd.removeAll(asking);
                    fleet.askAtOnce(gateway, asking);
                    TimeUnit.MILLISECONDS.sleep(forMs);
                } catch (IOException e) {
                    return; // it was not up
                } finally {
                    crowd.forEach(Daemon::close);
                }
            });
        }
    },
    ENGINE_RESTARTS {
        @Override
        void play(SoakFleet fleet, SplittableRandom random) throws Exception {
            int listLateMs = 100 + random.nextInt(1_500);
            int downMs = 500 + random.nextInt(3_000);
            fleet.withOneEngine(random, engine -> {
                engine.kill();
                TimeUnit.MILLISECONDS.sleep(listLateMs);
                engine.health = "terminated";
                fleet.directory.list(engine);
                TimeUnit.MILLISECONDS.sleep(downMs);
                engine.start();
                engine.health = "in_service";
                TimeUnit.MILLISECONDS.sleep(listLateMs);
                fleet.directory.list(engine);
            });
        }
    },
    ENGINE_DRAINS {
        @Override
        void play(SoakFleet fleet, SplittableRandom random) throws Exception {
            int forMs = 2_000 + random.nextInt(3_000);
            fleet.withOneEngine(random, engine -> {
                engine.health = "terminating";
                fleet.directory.list(engine);
                TimeUnit.MILLISECONDS.sleep(forMs);
                engine.health = "in_service";
                fleet.directory.list(engine);
            });
        }
    },
    CONNECTIONS_FALL_SILENT {
        @Override
        void play(SoakFleet fleet, SplittableRandom random) throws Exception {
            fleet.withOneEngine(random, engine -> {
                engine.proxy.silenceOpenConnections();
                TimeUnit.MILLISECONDS.sleep(500);
            });
        }
    },
    ENGINE_CUT_OFF {
        @Override
        void play(SoakFleet fleet, SplittableRandom random) throws Exception {
            int forMs = 1_000 + random.nextInt(4_000);
            fleet.withOneEngine(random, engine -> {
                fleet.ledger.reach(engine.host, false);
                engine.proxy.cut(true);
                TimeUnit.MILLISECONDS.sleep(forMs);
                engine.proxy.cut(false);
                fleet.ledger.reach(engine.host, true);
            });
        }
    },
    CONNECTIONS_RESET {
        @Override
        void play(SoakFleet fleet, SplittableRandom random) throws Exception {
            fleet.withOneEngine(random, engine -> engine.proxy.reset());
        }
    },
    NETWORK_SLOW {
        @Override
        void play(SoakFleet fleet, SplittableRandom random) throws Exception {
            fleet.withOneEngine(random, engine -> {
                engine.proxy.hold(200);
                TimeUnit.MILLISECONDS.sleep(300);
            });
        }
    },
    DISCOVERY_SILENT {
        @Override
        void play(SoakFleet fleet, SplittableRandom random) throws Exception {
            int forMs = 1_000 + random.nextInt(5_000);
            boolean busy = random.nextBoolean();
            List<DiscoveryAgent> agents = fleet.agents();
            for (DiscoveryAgent agent : agents) {
                if (busy) agent.busy(true);
                else agent.silence(true);
            }
            TimeUnit.MILLISECONDS.sleep(forMs);
            for (DiscoveryAgent agent : agents) {
                agent.silence(false);
                agent.busy(false);
            }
        }
    },
    /** Readers stop, some of them in the middle of reads, and go on with what they had begun. */
    READERS_STOP {
        @Override
        void play(SoakFleet fleet, SplittableRandom random) throws Exception {
            fleet.withRole(true, random, engine -> {
                // What is held there can be let go only once it runs again.
                fleet.ledger.reach(engine.host, false);
                engine.behave(Behaviour.STOPPED);
            }, engine -> {
                engine.behave(Behaviour.SOUND);
                fleet.ledger.reach(engine.host, true);
            }, 800 + random.nextInt(2_400));
        }
    },
    /** New connections to a reader come up and work, but each falls silent in the middle of a read, which goes on. */
    READER_LOSES_READS {
        @Override
        void play(SoakFleet fleet, SplittableRandom random) throws Exception {
            int forMs = 1_000 + random.nextInt(2_000);
            fleet.withOneReader(random, reader -> {
                reader.behave(Behaviour.LOSES_READS);
                TimeUnit.MILLISECONDS.sleep(forMs);
                reader.behave(Behaviour.SOUND);
            });
        }
    };

    private static final int STALL_MS = 120; // with what the signals take, up to 150
    private static final int MOST_IN_TURN = 3;
    private static final int CROWD = 150; // idle clients: over half of the places of one gateway
    private static final int CROWD_ASKS = 60; // of them, in some runs, all at once

    /** Something that is done to a gateway. */
    interface GatewayTrouble {
        void befall(GatewayProcess gateway) throws Exception;
    }

    abstract void play(SoakFleet fleet, SplittableRandom random) throws Exception;

    private static void withOneGateway(SoakFleet fleet, SplittableRandom random, GatewayTrouble what) throws Exception {
        fleet.withOneGateway(random, what);
    }

    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
