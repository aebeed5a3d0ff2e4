#pragma once

/// Umbrella header of the core: everything a program needs to use the decisions without their I/O.
#include <endiveroad/Admission.h>
#include <endiveroad/CallAdmission.h>
#include <endiveroad/CallAttempts.h>
#include <endiveroad/Cursor.h>
#include <endiveroad/Error.h>
#include <endiveroad/Event.h>
#include <endiveroad/JobCoordinator.h>
#include <endiveroad/KeyHomes.h>
#include <endiveroad/OutcomeTable.h>
#include <endiveroad/Rendezvous.h>
#include <endiveroad/ReplicaTable.h>
#include <endiveroad/RequestId.h>
#include <endiveroad/RequestWindow.h>
#include <endiveroad/Sample.h>
#include <endiveroad/SampleHold.h>
#include <endiveroad/Settings.h>
#include <endiveroad/Time.h>
#include <endiveroad/Timeline.h>
#include <endiveroad/VersionTracker.h>
